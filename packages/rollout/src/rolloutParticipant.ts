import {
    type FleetView,
    isOpenPlan,
    type RegisteredGateway,
    type RolloutPlan,
    type RolloutStatus,
} from "@galenaglade/fleet-state";
import {
    preexistingOrderWindowMs,
    overdueDelayShare,
    maxOverdueDelaySteps,
    standbyCoordinators,
    standbyReportIntervalMs,
    maxStoreContactAgeMs,
    statusWriteDelayMs,
} from "./constants.js";
import { RolloutCoordination, type CoordinationStep, type CoordinationTime } from "./rolloutCoordination.js";
import { CoordinatorSelector } from "./coordinatorSelector.js";
import { type EvidenceReport } from "./evidence.js";
import { type GatewayRollouts } from "./gatewayRollouts.js";
import { type OrderAge, unknownOrderAge } from "./orderAge.js";

/** Dependencies of {@link RolloutParticipant}. */
export interface RolloutParticipantDeps {
    /** Name of this gateway, as in its registration. */
    readonly name: string;
    readonly view: FleetView;
    readonly rollouts: GatewayRollouts;
}

/** An action to carry out, or an event to log. */
export type RolloutCommand =
    /** Send the report to the coordinator, then call `onReportSent`. */
    | { readonly type: "report"; readonly to: RegisteredGateway; readonly report: EvidenceReport; }
    /** Write the status if the store still has the expected revision, then call `onStatusWritten`. */
    | {
        readonly type: "write";
        readonly status: RolloutStatus;
        readonly expectedRevision: number;
        readonly reason: string;
        readonly plan: RolloutPlan;
        readonly step: CoordinationStep;
    }
    /** This gateway, as the coordinator, has found the version bad. */
    | { readonly type: "verdict"; readonly plan: RolloutPlan; readonly step: CoordinationStep; }
    /** This gateway has stopped sending requests to the version. */
    | { readonly type: "stopped"; readonly plan: RolloutPlan; readonly by: StopCause; };

/** Source of the evidence that stopped a trial in this gateway. */
export type StopCause = "ownAnswers" | "coordinator";

/** Outcome of sending a report. */
export type ReportOutcome = { readonly taken: true; readonly stop: boolean; } | { readonly taken: false; };

/** Summary of one report and its recipient. */
interface ReportSummary {
    readonly coordinator: string | undefined;
    readonly answers: number;
    readonly settled: boolean;
}

const noReport: ReportSummary = Object.freeze({ coordinator: undefined, answers: 0, settled: false });

/** State of one open rollout in this gateway. */
interface OpenRollout {
    readonly coordination: RolloutCoordination;
    /** The last report that a coordinator accepted. */
    lastReport: ReportSummary;
    pendingReport: ReportSummary | undefined;
    reportedAtMs: number;
    writing: boolean;
    nextWriteAtMs: number;
    /** Revision of the last successful write; no further write until the view has caught up with it. */
    writtenRevision: number;
    isBad: boolean;
}

/**
 * The control loop of one gateway over open rollouts: it reports its evidence to the coordinator, coordinates the
 * rollouts assigned to it, and stops trials. It is idle while no rollout is open.
 */
export class RolloutParticipant {
    readonly #deps: RolloutParticipantDeps;
    readonly #coordinators: CoordinatorSelector;
    readonly #openRollouts = new Map<string, OpenRollout>();
    #syncedAtMs: number | undefined;
    /**
     * Time of the last answer from the store as of the latest tick: an order that is new since then was given after
     * it.
     */
    #lastStoreContactMs = -Infinity;

    constructor(deps: RolloutParticipantDeps) {
        this.#deps = deps;
        this.#coordinators = new CoordinatorSelector(deps.name);
    }

    /** @returns the number of open rollouts */
    countOpen(): number {
        return this.#openRollouts.size;
    }

    /**
     * Processes all open rollouts.
     *
     * @returns the commands to carry out
     */
    tick(time: CoordinationTime): readonly RolloutCommand[] {
        const { view } = this.#deps;
        if (!view.hasSynced) {
            return [];
        }
        this.#syncedAtMs ??= time.nowMs;
        const plans = view.rollouts().filter(isOpenPlan);
        const services = new Set(plans.map(({ service }) => service));
        for (const service of this.#openRollouts.keys()) {
            if (!services.has(service)) {
                this.#openRollouts.delete(service);
            }
        }
        const commands = plans.flatMap(plan => this.#process(plan, time));
        this.#lastStoreContactMs = view.lastStoreContactMs;
        return commands;
    }

    /**
     * Handles a report from another gateway.
     *
     * @returns whether that gateway is to stop the trial; `undefined` if this gateway cannot coordinate the rollout
     */
    onPeerReport(report: EvidenceReport, time: CoordinationTime): { readonly stop: boolean; } | undefined {
        const plan = this.#deps.view.rolloutOf(report.service);
        if (!this.#reachesStore(time.nowMs) || plan === undefined || versionOf(plan) !== report.version) {
            return undefined;
        }
        this.#coordinators.onChosenByPeer(report.service, time.nowMs);
        const open = this.#resolveOpen(plan, time);
        open.coordination.onReport(report, time.nowMs);
        return { stop: open.isBad };
    }

    /** Handles the outcome of sending a report. */
    onReportSent(
        { to, report }: RolloutCommand & { readonly type: "report"; },
        outcome: ReportOutcome,
        nowMs: number,
    ): readonly RolloutCommand[] {
        const open = this.#openRollouts.get(report.service);
        const summary = open?.pendingReport;
        if (!outcome.taken) {
            this.#coordinators.onFailure(to.name, nowMs);
        }
        if (open === undefined || summary === undefined) {
            return [];
        }
        open.pendingReport = undefined;
        if (!outcome.taken) {
            return [];
        }
        open.lastReport = summary;
        open.reportedAtMs = nowMs;
        const plan = this.#deps.view.rolloutOf(report.service);
        return outcome.stop && plan !== undefined && versionOf(plan) === report.version
            ? this.#stopTrial(plan, "coordinator")
            : [];
    }

    /**
     * Handles the outcome of a write.
     *
     * @param revision - revision of the write; `undefined` if it failed or its outcome is unknown
     */
    onStatusWritten(service: string, revision: number | undefined, nowMs: number): void {
        const open = this.#openRollouts.get(service);
        if (open !== undefined) {
            open.writing = false;
            open.nextWriteAtMs = nowMs + statusWriteDelayMs;
            open.writtenRevision = revision ?? open.writtenRevision;
        }
    }

    #process(plan: RolloutPlan, time: CoordinationTime): readonly RolloutCommand[] {
        const { rollouts, name, view } = this.#deps;
        const { nowMs } = time;
        const open = this.#resolveOpen(plan, time);
        open.coordination.observe(plan.service, view, nowMs);
        const commands: RolloutCommand[] = [];
        if (rollouts.evaluateOwnEvidence(plan).type === "bad") {
            commands.push(...this.#stopTrial(plan, "ownAnswers"));
        }
        const gateways = view.registeredGateways();
        const names = gateways.map(gateway => gateway.name);
        const isActing = this.#coordinators.isActing(plan.service, names, nowMs)
            || open.coordination.isOverdue(plan, nowMs, this.#overdueDelayMs(plan, names));
        if (isActing && this.#reachesStore(nowMs)) {
            open.coordination.onReport(rollouts.createReport(plan), nowMs);
            commands.push(...this.#coordinate(plan, open, time));
        }
        const coordinator = this.#coordinators.choose(plan.service, names, nowMs);
        const to = coordinator === name ? undefined : gateways.find(gateway => gateway.name === coordinator);
        if (to !== undefined) {
            commands.push(...this.#report(plan, open, to, names, nowMs));
        }
        return commands;
    }

    #report(
        plan: RolloutPlan,
        open: OpenRollout,
        to: RegisteredGateway,
        names: readonly string[],
        nowMs: number,
    ): readonly RolloutCommand[] {
        const { trialAnswers, ...evidence } = this.#deps.rollouts.createReport(plan);
        const report = this.#reachesStore(nowMs)
            ? { ...evidence, orderAge: open.coordination.ownOrderAge(nowMs) }
            : evidence;
        // A new coordinator has no reports from this gateway yet.
        const last = open.lastReport.coordinator === to.name ? open.lastReport : noReport;
        const hasNewEvidence = trialAnswers > last.answers || report.settled !== last.settled;
        if (
            open.pendingReport !== undefined
            || !(hasNewEvidence || this.#isStandbyDue(plan.service, open, names, nowMs))
        ) {
            return [];
        }
        open.pendingReport = { coordinator: to.name, answers: trialAnswers, settled: report.settled };
        return [{ type: "report", to, report }];
    }

    /**
     * A coordinator may be unable to write, or know the order for a shorter time than others, while it still accepts
     * reports. So every gateway ends an overdue rollout itself, with a delay that increases with its rank.
     */
    #overdueDelayMs({ service, order }: RolloutPlan, names: readonly string[]): number {
        const rank = this.#coordinators.rank(service, names).indexOf(this.#deps.name);
        const steps = rank < 0 ? maxOverdueDelaySteps : Math.min(rank, maxOverdueDelaySteps);
        return (order?.allowedMs ?? 0) * overdueDelayShare * steps;
    }

    /** The gateways next in rank detect a coordinator that is gone, even if they have no new evidence to report. */
    #isStandbyDue(service: string, open: OpenRollout, names: readonly string[], nowMs: number): boolean {
        if (nowMs - open.reportedAtMs < standbyReportIntervalMs) {
            return false;
        }
        const rank = this.#coordinators.rank(service, names).indexOf(this.#deps.name);
        return rank > 0 && rank <= standbyCoordinators;
    }

    #coordinate(plan: RolloutPlan, open: OpenRollout, time: CoordinationTime): readonly RolloutCommand[] {
        const step = open.coordination.step(plan, this.#deps.view, time);
        const commands: RolloutCommand[] = [];
        if (step.verdict.type === "bad" && !open.isBad) {
            open.isBad = true;
            commands.push({ type: "verdict", plan, step }, ...this.#stopTrial(plan, "coordinator"));
        }
        const isViewCurrent = plan.statusRevision >= open.writtenRevision;
        if (step.write !== undefined && isViewCurrent && !open.writing && time.nowMs >= open.nextWriteAtMs) {
            open.writing = true;
            commands.push({ type: "write", ...step.write, expectedRevision: plan.statusRevision, plan, step });
        }
        return commands;
    }

    #stopTrial(plan: RolloutPlan, by: StopCause): readonly RolloutCommand[] {
        return this.#deps.rollouts.stopTrial(plan) ? [{ type: "stopped", plan, by }] : [];
    }

    #resolveOpen(plan: RolloutPlan, time: CoordinationTime): OpenRollout {
        const version = versionOf(plan);
        const existing = this.#openRollouts.get(plan.service);
        if (existing?.coordination.version === version) {
            return existing;
        }
        const open: OpenRollout = {
            coordination: new RolloutCoordination(version, time, this.#newOrderAge(time.nowMs)),
            lastReport: noReport,
            pendingReport: undefined,
            reportedAtMs: time.nowMs,
            writing: false,
            nextWriteAtMs: -Infinity,
            writtenRevision: 0,
            isBad: false,
        };
        this.#openRollouts.set(plan.service, open);
        return open;
    }

    /** @returns bounds of the age of an order that was not present at the latest tick */
    #newOrderAge(nowMs: number): OrderAge {
        const mayPredateFirstRead = nowMs - (this.#syncedAtMs ?? nowMs) < preexistingOrderWindowMs;
        return mayPredateFirstRead ? unknownOrderAge : { atLeastMs: 0, atMostMs: nowMs - this.#lastStoreContactMs };
    }

    #reachesStore(nowMs: number): boolean {
        return nowMs - this.#deps.view.lastStoreContactMs <= maxStoreContactAgeMs;
    }
}

function versionOf({ order, status }: RolloutPlan): string {
    return order?.version ?? status?.version ?? "";
}
