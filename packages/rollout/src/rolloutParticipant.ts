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

/** What a gateway takes part in roll-outs with. */
export interface RolloutParticipantDeps {
    /** Of this gateway, as in its registration. */
    readonly name: string;
    readonly view: FleetView;
    readonly rollouts: GatewayRollouts;
}

/** What to do, or to log. */
export type RolloutCommand =
    /** Tell the coordinator what this gateway has seen, and then `onReported`. */
    | { readonly type: "report"; readonly to: RegisteredGateway; readonly report: EvidenceReport; }
    /** Write a status where the store still has the revision, and then `onWritten`. */
    | {
        readonly type: "write";
        readonly status: RolloutStatus;
        readonly expectedRevision: number;
        readonly reason: string;
        readonly plan: RolloutPlan;
        readonly step: CoordinationStep;
    }
    /** As coordinator, this gateway has found the version bad. */
    | { readonly type: "verdict"; readonly plan: RolloutPlan; readonly step: CoordinationStep; }
    /** From now on this gateway sends nothing to the version. */
    | { readonly type: "stopped"; readonly plan: RolloutPlan; readonly by: StopCause; };

/** Whose evidence ends a trial in this gateway. */
export type StopCause = "ownAnswers" | "coordinator";

/** How a report went. */
export type ReportOutcome = { readonly taken: true; readonly stop: boolean; } | { readonly taken: false; };

/** What one report said, and to which coordinator. */
interface ReportSummary {
    readonly coordinator: string | undefined;
    readonly answers: number;
    readonly settled: boolean;
}

const noReport: ReportSummary = Object.freeze({ coordinator: undefined, answers: 0, settled: false });

/** What this gateway keeps of one open roll-out. */
interface OpenRollout {
    readonly coordination: RolloutCoordination;
    /** The last report that was taken. */
    lastReport: ReportSummary;
    reportUnderWay: ReportSummary | undefined;
    reportedAtMs: number;
    writing: boolean;
    mayWriteAtMs: number;
    /** Revision of the last write, until the view has heard of it. */
    writtenRevision: number;
    isBad: boolean;
}

/**
 * One gateway's loop over open roll-outs: it reports what it sees to the coordinator, coordinates those that fall to it, and
 * stops trials. Nothing is done while no roll-out is open.
 */
export class RolloutParticipant {
    readonly #parts: RolloutParticipantDeps;
    readonly #coordinators: CoordinatorSelector;
    readonly #open = new Map<string, OpenRollout>();
    #readAtMs: number | undefined;
    /** When the store had last answered at the latest look: orders that are new since then were given after that. */
    #contactMs = -Infinity;

    constructor(parts: RolloutParticipantDeps) {
        this.#parts = parts;
        this.#coordinators = new CoordinatorSelector(parts.name);
    }

    /** @returns how many roll-outs are open */
    countOpen(): number {
        return this.#open.size;
    }

    /** Looks at all open roll-outs. @returns what to do */
    tick(time: CoordinationTime): readonly RolloutCommand[] {
        const { view } = this.#parts;
        if (!view.hasSynced) {
            return [];
        }
        this.#readAtMs ??= time.nowMs;
        const plans = view.rollouts().filter(isOpenPlan);
        const services = new Set(plans.map(({ service }) => service));
        for (const service of this.#open.keys()) {
            if (!services.has(service)) {
                this.#open.delete(service);
            }
        }
        const commands = plans.flatMap(plan => this.#take(plan, time));
        this.#contactMs = view.lastStoreContactMs;
        return commands;
    }

    /** Another gateway tells what it has seen. @returns whether to stop, or `undefined` where this one can't coordinate */
    onPeerReport(report: EvidenceReport, time: CoordinationTime): { readonly stop: boolean; } | undefined {
        const plan = this.#parts.view.rolloutOf(report.service);
        if (!this.#reachesStore(time.nowMs) || plan === undefined || versionOf(plan) !== report.version) {
            return undefined;
        }
        this.#coordinators.onChosenByPeer(report.service, time.nowMs);
        const open = this.#resolveOpen(plan, time);
        open.coordination.onReport(report, time.nowMs);
        return { stop: open.isBad };
    }

    /** A report has ended. */
    onReportSent(
        { to, report }: RolloutCommand & { readonly type: "report"; },
        outcome: ReportOutcome,
        nowMs: number,
    ): readonly RolloutCommand[] {
        const open = this.#open.get(report.service);
        const summary = open?.reportUnderWay;
        if (!outcome.taken) {
            this.#coordinators.onFailure(to.name, nowMs);
        }
        if (open === undefined || summary === undefined) {
            return [];
        }
        open.reportUnderWay = undefined;
        if (!outcome.taken) {
            return [];
        }
        open.lastReport = summary;
        open.reportedAtMs = nowMs;
        const plan = this.#parts.view.rolloutOf(report.service);
        return outcome.stop && plan !== undefined && versionOf(plan) === report.version
            ? this.#stopTrial(plan, "coordinator")
            : [];
    }

    /** A write has ended. @param revision - at which it was done; `undefined` where it wasn't, or nobody knows */
    onStatusWritten(service: string, revision: number | undefined, nowMs: number): void {
        const open = this.#open.get(service);
        if (open !== undefined) {
            open.writing = false;
            open.mayWriteAtMs = nowMs + statusWriteDelayMs;
            open.writtenRevision = revision ?? open.writtenRevision;
        }
    }

    #take(plan: RolloutPlan, time: CoordinationTime): readonly RolloutCommand[] {
        const { rollouts, name, view } = this.#parts;
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
            || open.coordination.isOverdue(plan, nowMs, this.#overdueWaitMs(plan, names));
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
        const { trialAnswers, ...seen } = this.#parts.rollouts.createReport(plan);
        const report = this.#reachesStore(nowMs)
            ? { ...seen, orderAge: open.coordination.ownOrderAge(nowMs) }
            : seen;
        // A coordinator that takes over knows nothing yet.
        const last = open.lastReport.coordinator === to.name ? open.lastReport : noReport;
        const isNews = trialAnswers > last.answers || report.settled !== last.settled;
        if (open.reportUnderWay !== undefined || !(isNews || this.#isStandbyDue(plan.service, open, names, nowMs))) {
            return [];
        }
        open.reportUnderWay = { coordinator: to.name, answers: trialAnswers, settled: report.settled };
        return [{ type: "report", to, report }];
    }

    /**
     * A coordinator may be unable to write, or know the order for a shorter time than others, while it still answers them. So
     * every gateway ends a roll-out itself whose time is over, those next in rank first.
     */
    #overdueWaitMs({ service, order }: RolloutPlan, names: readonly string[]): number {
        const rank = this.#coordinators.rank(service, names).indexOf(this.#parts.name);
        const steps = rank < 0 ? maxOverdueDelaySteps : Math.min(rank, maxOverdueDelaySteps);
        return (order?.allowedMs ?? 0) * overdueDelayShare * steps;
    }

    /** The gateways next in rank find out a coordinator that is gone, also where there is nothing to report. */
    #isStandbyDue(service: string, open: OpenRollout, names: readonly string[], nowMs: number): boolean {
        if (nowMs - open.reportedAtMs < standbyReportIntervalMs) {
            return false;
        }
        const rank = this.#coordinators.rank(service, names).indexOf(this.#parts.name);
        return rank > 0 && rank <= standbyCoordinators;
    }

    #coordinate(plan: RolloutPlan, open: OpenRollout, time: CoordinationTime): readonly RolloutCommand[] {
        const step = open.coordination.step(plan, this.#parts.view, time);
        const commands: RolloutCommand[] = [];
        if (step.verdict.type === "bad" && !open.isBad) {
            open.isBad = true;
            commands.push({ type: "verdict", plan, step }, ...this.#stopTrial(plan, "coordinator"));
        }
        const isHeard = plan.statusRevision >= open.writtenRevision;
        if (step.write !== undefined && isHeard && !open.writing && time.nowMs >= open.mayWriteAtMs) {
            open.writing = true;
            commands.push({ type: "write", ...step.write, expectedRevision: plan.statusRevision, plan, step });
        }
        return commands;
    }

    #stopTrial(plan: RolloutPlan, by: StopCause): readonly RolloutCommand[] {
        return this.#parts.rollouts.stopTrial(plan) ? [{ type: "stopped", plan, by }] : [];
    }

    #resolveOpen(plan: RolloutPlan, time: CoordinationTime): OpenRollout {
        const version = versionOf(plan);
        const known = this.#open.get(plan.service);
        if (known?.coordination.version === version) {
            return known;
        }
        const open: OpenRollout = {
            coordination: new RolloutCoordination(version, time, this.#newOrderAge(time.nowMs)),
            lastReport: noReport,
            reportUnderWay: undefined,
            reportedAtMs: time.nowMs,
            writing: false,
            mayWriteAtMs: -Infinity,
            writtenRevision: 0,
            isBad: false,
        };
        this.#open.set(plan.service, open);
        return open;
    }

    /** @returns the age of an order that was not there at the latest look */
    #newOrderAge(nowMs: number): OrderAge {
        const isInherited = nowMs - (this.#readAtMs ?? nowMs) < preexistingOrderWindowMs;
        return isInherited ? unknownOrderAge : { atLeastMs: 0, atMostMs: nowMs - this.#contactMs };
    }

    #reachesStore(nowMs: number): boolean {
        return nowMs - this.#parts.view.lastStoreContactMs <= maxStoreContactAgeMs;
    }
}

function versionOf({ order, status }: RolloutPlan): string {
    return order?.version ?? status?.version ?? "";
}
