import { type ServerContactResult } from "@galenaglade/reachability";

const timeoutCode = "UND_ERR_CONNECT_TIMEOUT";
const socketCode = "UND_ERR_SOCKET";

/** How an exchange without an answer ended. @param err - as the HTTP client reports it */
export function classifyConnectionError(err: Error): Exclude<ServerContactResult, "heard"> {
    const { code, syscall } = err as NodeJS.ErrnoException;
    if (code === timeoutCode) {
        return "silent";
    }
    return syscall === "connect" && code !== socketCode ? "refused" : "lost";
}
