import { resolveStartup, type SettingsResolver } from "./loadSettings.js";

/** A long-running process, put together but not started. */
export interface Program {
    readonly logger: {
        info(message: string, fields?: { readonly [name: string]: string; }): void;
        error(message: string, fields?: { readonly [name: string]: string; }): void;
    };
    /** Name on the ready line. */
    readonly name: string;
    /** Opens its ports; fails where it can't. @returns the URL at which it is reached */
    start(): Promise<string>;
    /** Planned stop, whole. */
    stop(): Promise<void>;
}

/**
 * Runs a program from its command line to its end: settings first, before a port is opened; a line of JSON on standard
 * output once it is ready; a planned stop at SIGTERM or SIGINT, and exit code 0 after it.
 *
 * @param name - name of the program, for its help
 * @param resolve - checks its settings
 * @param create - puts it together
 */
export async function runProgram<T>(
    name: string,
    resolve: SettingsResolver<T>,
    create: (settings: T) => Program,
): Promise<void> {
    const startup = resolveStartup(name, process.argv.slice(2), resolve);
    if (startup.type === "exit") {
        (startup.code === 0 ? console.log : console.error)(startup.output);
        process.exit(startup.code);
    }
    const program = create(startup.settings);
    stopOnSignals(program);
    try {
        const url = await program.start();
        console.log(JSON.stringify({ ready: true, name: program.name, url }));
    }
    catch (err) {
        program.logger.error(`${name} can't start`, { error: String(err) });
        process.exit(1);
    }
}

function stopOnSignals(program: Program): void {
    let stopping = false;
    for (const signal of ["SIGTERM", "SIGINT"]) {
        process.on(signal, () => {
            if (stopping) {
                return;
            }
            stopping = true;
            program.logger.info("planned stop begins", { signal });
            program.stop().then(() => process.exit(0), (err: unknown) => {
                program.logger.error("planned stop failed", { error: String(err) });
                process.exit(1);
            });
        });
    }
}
