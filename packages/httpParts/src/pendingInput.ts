import { type Socket } from "node:net";

/** Maximum number of event-loop turns for which {@link whenInputRead} waits while more bytes arrive. */
const maxTurns = 16;

/**
 * Waits until what had arrived on a connection before the call was read: its bytes, and its end. After a turn of the event
 * loop that took long, timers and other connections may be handled before a caller's end is read, although it has been
 * there all the while.
 *
 * @param socket - connection of which bytes are still being read; `undefined` if only its end matters
 */
export async function whenInputRead(socket?: Socket): Promise<void> {
    for (let turns = 0; turns < maxTurns; turns++) {
        const bytesBefore = socket?.bytesRead;
        await nextTurn();
        if (socket?.bytesRead === bytesBefore) {
            return;
        }
    }
}

/** Waits for a whole poll for input: the first callback may come in the middle of one that has begun. */
function nextTurn(): Promise<void> {
    return new Promise(resolve => {
        setImmediate(() => {
            setImmediate(resolve);
        });
    });
}
