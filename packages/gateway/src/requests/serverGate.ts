import { type AttemptEnd } from "@galenaglade/cold-start";
import { type ConfigurationRevision } from "@galenaglade/configuration";
import { type Grant } from "./grant.js";
import { type Target } from "./serviceTable.js";

/** Says whether a backend server may get a request now, beyond the configuration's word. */
export abstract class ServerGate {
    /**
     * @param target - the backend server
     * @param nowMs - the present time
     * @param deadlineMs - when the request's caller gives up
     */
    abstract maySend(target: Target, nowMs: number, deadlineMs: number): boolean;

    /** Whether anything may be sent at all, now or in a moment; if not, requests are refused instead of held. */
    abstract hasPeerContact(nowMs: number): boolean;
    /** Whether a backend server is cold, so that what it gets is its warm-up. */
    abstract isCold(target: Pick<Target, "serverId">): boolean;
    /** Told when leave has been given, in the same turn as {@link maySend} was asked. */
    abstract onGranted(grant: Grant, deadlineMs: number): void;
    /** Asked in the turn of the first byte, for leave may be over by then. */
    abstract mayStillSend(grant: Grant, nowMs: number): boolean;
    /** Told how a granted request ended. */
    abstract onEnded(grant: Grant, end: AttemptEnd, nowMs: number): void;
    /** Takes the backend servers of a newer configuration. */
    abstract onConfiguration(revised: ConfigurationRevision): void;
    /** @param reconsider - to be called when requests that wait may find a backend server that has opened */
    abstract start(reconsider: () => void): void;
    abstract stop(): Promise<void>;
}

/** Lets everything through; what the configuration names may be sent to. */
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
