import { type Clock } from "@galenaglade/http-parts";
import { isLaterStatus, termOf } from "@galenaglade/fleet-state";
import { type KeyValueStore } from "@galenaglade/platform";
import {
    type CoordinationTime,
    type EvidenceReport,
    type RolloutParticipantDeps,
    type ReportOutcome,
    type RolloutCommand,
    RolloutParticipant,
} from "@galenaglade/rollout";
import { type RandomSource } from "@galenaglade/routing";
import { rewriteSpreadMs, rolloutCheckPeriodMs } from "../constants.js";
import { type StateCodec } from "../stateCodec.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { EvidenceClient } from "./evidenceClient.js";
import { EvidenceCollector } from "./evidenceServer.js";
import { type EvidenceResponse } from "./rolloutMessages.js";

/** Dependencies of {@link RolloutRunner}. */
export interface RolloutRunnerDeps extends RolloutParticipantDeps {
    readonly random: RandomSource;
    readonly store: KeyValueStore;
    readonly codec: StateCodec;
    readonly clock: Clock;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

type Command<Type extends RolloutCommand["type"]> = RolloutCommand & { readonly type: Type; };

/** Executes the commands of this gateway's `RolloutParticipant`: reports, writes to the store and log lines. */
export class RolloutRunner extends EvidenceCollector {
    readonly #deps: RolloutRunnerDeps;
    readonly #participant: RolloutParticipant;
    readonly #client = new EvidenceClient();
    #timer: NodeJS.Timeout | undefined;
    /** Term of the store for which statuses have been written again. */
    #term: number | undefined;

    constructor(deps: RolloutRunnerDeps) {
        super();
        this.#deps = deps;
        this.#participant = new RolloutParticipant(deps);
    }

    start(): void {
        this.#timer = setInterval(() => this.#tick(), rolloutCheckPeriodMs);
    }

    stop(): void {
        clearInterval(this.#timer);
        this.#client.close();
    }

    override onReport(report: EvidenceReport): EvidenceResponse | undefined {
        return this.#participant.onPeerReport(report, this.#now());
    }

    #tick(): void {
        this.#checkTerm();
        const openCountBefore = this.#participant.countOpen();
        this.#execute(this.#participant.tick(this.#now()));
        if (openCountBefore > 0 && this.#participant.countOpen() === 0) {
            this.#client.close();
        }
    }

    /**
     * Schedules a rewrite of rollout statuses after the store was restored from a backup, which may lack decisions. All
     * gateways know these and may write them, so a random delay keeps them from writing at once.
     */
    #checkTerm(): void {
        const { view, random } = this.#deps;
        if (this.#term !== undefined && view.term > this.#term) {
            setTimeout(() => void this.#rewriteStatuses(), rewriteSpreadMs * random.next()).unref();
        }
        this.#term = view.hasSynced ? view.term : undefined;
    }

    async #rewriteStatuses(): Promise<void> {
        const { view, store, codec, log, metrics } = this.#deps;
        const outdated = view.rollouts().filter(({ statusRevision }) => termOf(statusRevision) < view.term);
        for (const { service, status, statusRevision } of outdated) {
            if (status === undefined) {
                continue;
            }
            const key = codec.rolloutStatusKey(service);
            const value = codec.encodeRolloutStatus(status);
            const swap = await store.compareAndSwap({ key, expectedRevision: statusRevision, value });
            const current = swap.map(outcome => outcome.swapped ? undefined : outcome.current).orDefault(undefined);
            const item = current && codec.decode(current);
            if (swap.isLeft() || (item?.type === "rolloutStatus" && !isLaterStatus(status, item.status))) {
                continue;
            }
            const written = await store.compareAndSwap({
                key,
                expectedRevision: current?.modifiedRevision ?? 0,
                value,
            });
            const isWritten = written.map(({ swapped }) => swapped).orDefault(false);
            metrics.onStoreCall("rollout", isWritten ? "answered" : "conflict");
            log.log("info", "rolloutRestored", { service, stage: status.stage, written: isWritten });
        }
    }

    #execute(commands: readonly RolloutCommand[]): void {
        for (const command of commands) {
            switch (command.type) {
                case "report":
                    void this.#report(command);
                    break;
                case "write":
                    void this.#write(command);
                    break;
                case "verdict":
                    this.#logEvent("rolloutVerdict", command);
                    break;
                case "stopped": {
                    const { service, order } = command.plan;
                    this.#deps.log.log("warn", "trialStopped", { service, version: order?.version, by: command.by });
                }
            }
        }
    }

    async #report(command: Command<"report">): Promise<void> {
        const { log, clock } = this.#deps;
        const { to, report } = command;
        const response = await this.#client.report(to.peerAddress, report);
        const outcome = response.caseOf<ReportOutcome>({
            Left: ({ kind, detail }) => {
                log.log("warn", "coordinatorLost", { service: report.service, peer: to.name, kind, detail });
                return { taken: false };
            },
            Right: ({ stop }) => ({ taken: true, stop }),
        });
        this.#execute(this.#participant.onReportSent(command, outcome, clock.monotonicMs()));
    }

    async #write(command: Command<"write">): Promise<void> {
        const { store, codec, clock, log, metrics } = this.#deps;
        const { status, expectedRevision, reason } = command;
        const written = await store.compareAndSwap({
            key: codec.rolloutStatusKey(status.service),
            expectedRevision,
            value: codec.encodeRolloutStatus(status),
        });
        const revision = written.caseOf({
            Left: ({ kind, detail }) => {
                metrics.onStoreCall("rollout", kind);
                log.log("warn", "rolloutWriteFailed", { service: status.service, stage: status.stage, kind, detail });
                return undefined;
            },
            Right: outcome => {
                metrics.onStoreCall("rollout", outcome.swapped ? "answered" : "conflict");
                return outcome.swapped ? outcome.revision : undefined;
            },
        });
        if (revision !== undefined) {
            this.#logEvent("rolloutStage", command, { to: status.stage, reason, revision });
        }
        this.#participant.onStatusWritten(status.service, revision, clock.monotonicMs());
    }

    #logEvent(
        event: "rolloutVerdict" | "rolloutStage",
        { plan: { service, order, status }, step }: Command<"verdict"> | Command<"write">,
        extraFields: Readonly<Record<string, string | number>> = {},
    ): void {
        const { log, view, clock } = this.#deps;
        const { verdict, sinceOrderMs, sinceOrderAtMostMs, capacity, registered, settled } = step;
        log.log("info", event, {
            service,
            version: order?.version ?? status?.version,
            stage: status?.stage,
            verdict: verdict.type,
            route: verdict.route,
            logOdds: Math.round(verdict.logOdds * 10) / 10,
            trialSends: verdict.trialSends,
            trialBad: verdict.trialBad,
            stableShare: Math.round(verdict.stableShare * 1_000) / 1_000,
            sinceOrderMs: Math.round(sinceOrderMs),
            sinceOrderAtMostMs: sinceOrderAtMostMs === undefined ? undefined : Math.round(sinceOrderAtMostMs),
            sinceStoreMs: Math.round(clock.monotonicMs() - view.lastStoreContactMs),
            capacity: Math.round(capacity * 100) / 100,
            registered,
            settled,
            ...extraFields,
        });
    }

    #now(): CoordinationTime {
        const { clock } = this.#deps;
        return { nowMs: clock.monotonicMs(), epochMs: clock.epochMs() };
    }
}
