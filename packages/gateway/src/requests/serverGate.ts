import { type AttemptCompletion } from "@galenaglade/cold-start";
import { type ConfigurationRevision } from "@galenaglade/configuration";
import { type Grant } from "./grant.js";
import { type Target } from "./serviceTable.js";

/** Decides whether a configured backend server may be sent a request now. */
export abstract class ServerGate {
    /**
     * @param target - the backend server
     * @param nowMs - current time on the monotonic clock, in milliseconds
     * @param deadlineMs - the caller's deadline on the same clock
     */
    abstract maySend(target: Target, nowMs: number, deadlineMs: number): boolean;

    /** Whether peer contact allows requests at all, now or shortly. If not, requests are refused instead of queued. */
    abstract hasPeerContact(nowMs: number): boolean;
    /** Whether a backend server is cold, so that requests to it serve to warm it up. */
    abstract isCold(target: Pick<Target, "serverId">): boolean;
    /** Called when a grant is made, in the same event loop turn as {@link maySend}. */
    abstract onGranted(grant: Grant, deadlineMs: number): void;
    /** Called in the turn of the first byte, since the permission of {@link maySend} may have expired by then. */
    abstract mayStillSend(grant: Grant, nowMs: number): boolean;
    /** Called when a granted request has ended. */
    abstract onEnded(grant: Grant, end: AttemptCompletion, nowMs: number): void;
    /** Applies the backend servers of a newer configuration. */
    abstract onConfiguration(revised: ConfigurationRevision): void;
    /** @param dispatchQueued - called when queued requests may now be allowed on some backend server */
    abstract start(dispatchQueued: () => void): void;
    abstract stop(): Promise<void>;
}

/** Allows requests to all configured backend servers. */
export class AllowAllGate extends ServerGate {
    override maySend(): boolean {
        return true;
    }

    override hasPeerContact(): boolean {
        return true;
    }

    override isCold(): boolean {
        return false;
    }

    override onGranted(): void {
        return;
    }

    override mayStillSend(): boolean {
        return true;
    }

    override onEnded(): void {
        return;
    }

    override onConfiguration(): void {
        return;
    }

    override start(): void {
        return;
    }

    override stop(): Promise<void> {
        return Promise.resolve();
    }
}
