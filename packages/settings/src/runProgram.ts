import { resolveStartup, type SettingsResolver } from "./loadSettings.js";

/** A server process that is not started yet. */
export interface Program {
    readonly logger: {
        info(message: string, fields?: { readonly [name: string]: string; }): void;
        error(message: string, fields?: { readonly [name: string]: string; }): void;
    };
    /** Name in the ready line. */
    readonly name: string;
    /** Opens the ports; rejects if a port can't be opened. @returns the URL at which the process is reached */
    start(): Promise<string>;
    /** Performs a planned stop; resolves once it is complete. */
    stop(): Promise<void>;
}

/**
 * Runs a server process: loads its settings before a port is opened, prints a JSON line to standard output when it is
 * ready, and performs a planned stop on SIGTERM or SIGINT, after which it exits with code 0.
 *
 * @param name - program name for the usage line
 * @param resolve - resolver of the settings file
 * @param create - creates the program
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
