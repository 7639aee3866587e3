import tsdoc from "eslint-plugin-tsdoc";
import tseslint from "typescript-eslint";

/**
 * Packages that only decide: they take events, the present time and a random source, and return commands.
 * None of them may reach a socket, a timer or a clock, so that a seed replays any fault found in them.
 */
const decisionPackages = [
    "errors",
    "configuration",
    "membership",
    "routing",
    "admission",
    "atMostOnce",
    "coldStart",
    "history",
    "fleetState",
    "placement",
    "rollout",
    "quarantine",
    "workspaces",
    "rateLimit",
    "reachability",
];

/** Keys, headers and fields of the users' platform that mean nothing elsewhere. */
const platformNames =
    "/kv-(range|watch|txn|lease|keep|key)|expected-instance|response-signature|not-executed|cold-start-ms|routeAction|matchCriteria|coldRemainingS/i";

const inputOutputModules = [
    "node:*",
    "undici",
    "@trpc/*",
    "@connectrpc/*",
    "@opentelemetry/*",
    "consola",
    "@galenaglade/platform",
    "@galenaglade/peers",
    "@galenaglade/telemetry",
    "@galenaglade/http-parts",
    "@galenaglade/gateway",
    "@galenaglade/edge",
    "@galenaglade/admin",
    "@galenaglade/cli",
    "@galenaglade/stand-ins",
];

/** A reset at the wrong moment keeps the socket open for good. */
const restrictedReset = {
    property: "resetAndDestroy",
    message: "use resetConnection of @galenaglade/http-parts, which knows when a socket can be reset",
};

const clocksAndTimers = [
    "Date",
    "performance",
    "setTimeout",
    "setInterval",
    "setImmediate",
    "queueMicrotask",
    "fetch",
    "process",
];

export default tseslint.config(
    { ignores: ["**/node_modules/**", "**/dist/**", "target/**", "journal/**", "packages/schema/src/generated/**"] },
    ...tseslint.configs.strictTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: { allowDefaultProject: ["eslint.config.js"] } } },
        plugins: { tsdoc },
        rules: {
            "tsdoc/syntax": "error",
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "inline-type-imports" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "variable", format: ["camelCase", "PascalCase"], leadingUnderscore: "forbid" },
                { selector: "function", format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
            "@typescript-eslint/no-restricted-types": ["error", {
                types: { null: { message: "use undefined" } },
            }],
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
            "@typescript-eslint/no-confusing-void-expression": ["error", { ignoreArrowShorthand: true }],
            "@typescript-eslint/no-extraneous-class": "off",
        },
    },
    {
        // Tests are also callers and servers that reset whenever they like.
        files: ["**/*.ts"],
        ignores: ["**/__tests__/**"],
        rules: { "no-restricted-properties": ["error", restrictedReset] },
    },
    {
        files: [
            ...decisionPackages.map(name => `packages/${name}/src/**/*.ts`),
            "packages/replay/src/{world,report}/**/*.ts",
        ],
        ignores: ["**/__tests__/**"],
        rules: {
            "no-restricted-imports": ["error", {
                patterns: [{ group: inputOutputModules, message: "decisions do no I/O" }],
            }],
            "no-restricted-globals": ["error", ...clocksAndTimers],
            "no-restricted-properties": ["error", restrictedReset, {
                object: "Math",
                property: "random",
            }],
        },
    },
    {
        // What runs on the users' platform knows its names in platform/ alone.
        files: ["packages/**/*.ts", "scripts/**/*.ts", "playground/**/*.ts"],
        ignores: ["**/__tests__/**"],
        rules: {
            "no-restricted-syntax": ["error", {
                selector:
                    `:matches(Literal[value=${platformNames}], TemplateElement[value.raw=${platformNames}], Property > Identifier.key[name=${platformNames}])`,
                message: "the platform's names stand in platform/ alone",
            }],
        },
    },
    {
        files: ["**/__tests__/**/*.ts"],
        rules: {
            // node:test returns promises that its runner awaits.
            "@typescript-eslint/no-floating-promises": ["error", {
                allowForKnownSafeCalls: [{ from: "package", name: ["test", "describe", "it"], package: "node:test" }],
            }],
        },
    },
    { files: ["eslint.config.js"], ...tseslint.configs.disableTypeChecked },
);
