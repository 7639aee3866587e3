import { readdirSync, readFileSync, readlinkSync } from "node:fs";

const listening = "0A";
/** Tables of the operating system with the sockets that are connected, listen, or take datagrams; with the inode's column. */
const tables = { tcp: 9, tcp6: 9, udp: 9, udp6: 9, unix: 6 } as const;

function readTable(name: keyof typeof tables): readonly string[][] {
    return readFileSync(`/proc/net/${name}`, "utf8").split("\n").slice(1).map(line => line.trim().split(/\s+/));
}

/**
 * Counts the connections on local ports whose descriptors are held, in this process or another one.
 *
 * @param ports - ports of 127.0.0.1 on which servers listen
 * @returns the number of connections that were accepted there and aren't closed
 */
export function countConnections(ports: readonly number[]): number {
    const suffixes = new Set(ports.map(port => port.toString(16).toUpperCase().padStart(4, "0")));
    // A socket whose process has closed it has no inode, even if its connection isn't over yet.
    return readTable("tcp").filter(fields =>
        suffixes.has(fields[1]?.split(":")[1] ?? "") && fields[3] !== listening && fields[tables.tcp] !== "0"
    ).length;
}

/** @returns the number of this process's sockets whose connections are over, and whose descriptors are held anyway */
export function countDeadSockets(): number {
    const held = new Set<string>();
    for (const descriptor of readdirSync("/proc/self/fd")) {
        try {
            const inode = /^socket:\[(\d+)\]$/.exec(readlinkSync(`/proc/self/fd/${descriptor}`))?.[1];
            if (inode !== undefined) {
                held.add(inode);
            }
        }
        catch {
            // Closed since the folder was read.
        }
    }
    for (const name of Object.keys(tables) as readonly (keyof typeof tables)[]) {
        for (const fields of readTable(name)) {
            held.delete(fields[tables[name]] ?? "");
        }
    }
    return held.size;
}
