/** Bundles each program into one file under dist/, including the workspace's packages but no registry packages. */
import { chmodSync, existsSync } from "node:fs";
import { build } from "esbuild";

interface Program {
    readonly name: string;
    readonly entry: string;
}

const programs: readonly Program[] = [
    { name: "galenaglade-gateway", entry: "packages/gateway/src/cli.ts" },
    { name: "galenaglade-admin", entry: "packages/admin/src/cli.ts" },
    { name: "galenaglade", entry: "packages/cli/src/cli.ts" },
    { name: "standIns/platform", entry: "packages/standIns/src/platform/cli.ts" },
    { name: "standIns/backendServer", entry: "packages/standIns/src/backendServer/cli.ts" },
    { name: "standIns/caller", entry: "packages/standIns/src/caller/cli.ts" },
];

for (const { name, entry } of programs) {
    if (!existsSync(entry)) {
        throw new Error(`${name}: ${entry} does not exist`);
    }
    const outfile = `dist/${name}.mjs`;
    await build({
        entryPoints: [entry],
        outfile,
        bundle: true,
        platform: "node",
        format: "esm",
        target: "node20",
        sourcemap: true,
        logLevel: "warning",
        // Keeps registry packages external, so that they are updated and audited as installed.
        plugins: [{
            name: "registry-outside",
            setup: context => {
                context.onResolve(
                    { filter: /^[^./]/ },
                    args =>
                        args.path.startsWith("@galenaglade/") || args.kind === "entry-point"
                            ? undefined
                            : { path: args.path, external: true },
                );
            },
        }],
    });
    chmodSync(outfile, 0o755);
    console.log(outfile);
}
