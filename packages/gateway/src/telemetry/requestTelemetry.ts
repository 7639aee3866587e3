import { type Metrics, type Tracing } from "@galenaglade/telemetry";
import {
    type Context,
    type Counter,
    type Histogram,
    ROOT_CONTEXT,
    type Span,
    type SpanKind,
    type TextMapGetter,
    type TextMapSetter,
    trace,
    type UpDownCounter,
} from "@opentelemetry/api";
import { type IncomingHttpHeaders } from "node:http";

const headerGetter: TextMapGetter<IncomingHttpHeaders> = {
    keys: carrier => Object.keys(carrier),
    get: (carrier, key) => carrier[key],
};

const headerSetter: TextMapSetter<Record<string, string>> = {
    set: (carrier, key, value) => {
        carrier[key] = value;
    },
};

/** Result of a caller's request, as recorded in metrics. */
export interface RequestMetrics {
    readonly method: string;
    readonly service: string;
    readonly status: number;
    /** The error kind; `undefined` if the response came from a backend server. */
    readonly errorKind: string | undefined;
    readonly durationMs: number;
}

/** Spans and metrics of requests, named by OpenTelemetry's semantic conventions for HTTP. */
export class RequestTelemetry {
    readonly #tracing: Tracing;
    readonly #duration: Histogram;
    readonly #active: UpDownCounter;
    readonly #failed: Counter;

    constructor(tracing: Tracing, metrics: Metrics) {
        this.#tracing = tracing;
        this.#duration = metrics.meter.createHistogram("http.server.request.duration", { unit: "s" });
        this.#active = metrics.meter.createUpDownCounter("http.server.active_requests");
        this.#failed = metrics.meter.createCounter("galenaglade.requests.failed");
    }

    /** @returns the trace context of a caller's headers */
    extract(headers: IncomingHttpHeaders): Context {
        return this.#tracing.propagator.extract(ROOT_CONTEXT, headers, headerGetter);
    }

    startSpan(name: string, kind: SpanKind, parent: Span | Context): Span {
        const context = "spanContext" in parent ? trace.setSpan(ROOT_CONTEXT, parent) : parent;
        return this.#tracing.tracer.startSpan(name, { kind }, context);
    }

    /** @returns headers that propagate a span's context to the next hop */
    propagationHeaders(span: Span): Readonly<Record<string, string>> {
        const carrier: Record<string, string> = {};
        this.#tracing.propagator.inject(trace.setSpan(ROOT_CONTEXT, span), carrier, headerSetter);
        return carrier;
    }

    onRequestStarted(): void {
        this.#active.add(1);
    }

    onRequestEnded(end: RequestMetrics): void {
        this.#active.add(-1);
        const attributes = {
            "http.request.method": end.method,
            "http.response.status_code": end.status,
            "http.route": end.service,
        };
        if (end.errorKind === undefined) {
            this.#duration.record(end.durationMs / 1e3, attributes);
            return;
        }
        this.#duration.record(end.durationMs / 1e3, { ...attributes, "error.type": end.errorKind });
        this.#failed.add(1, { "error.type": end.errorKind, "http.route": end.service });
    }
}
