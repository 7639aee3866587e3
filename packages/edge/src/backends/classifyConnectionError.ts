import { type ServerContactResult } from "@galenaglade/reachability";

const timeoutCode = "UND_ERR_CONNECT_TIMEOUT";
const socketCode = "UND_ERR_SOCKET";

/**
 * Classifies the error of a request that received no response.
 *
 * @param err - as reported by the HTTP client
 */
export function classifyConnectionError(err: Error): Exclude<ServerContactResult, "heard"> {
    const { code, syscall } = err as NodeJS.ErrnoException;
    if (code === timeoutCode) {
        return "silent";
    }
    return syscall === "connect" && code !== socketCode ? "refused" : "lost";
}
