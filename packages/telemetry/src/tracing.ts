import { type Tracer } from "@opentelemetry/api";
import { ExportResultCode, type ExportResult, W3CTraceContextPropagator } from "@opentelemetry/core";
import { resourceFromAttributes } from "@opentelemetry/resources";
import {
    BatchSpanProcessor,
    NodeTracerProvider,
    ParentBasedSampler,
    type ReadableSpan,
    type SpanExporter,
    TraceIdRatioBasedSampler,
} from "@opentelemetry/sdk-trace-node";
import { type Logger } from "./logFields.js";

/** A process's tracer. */
export interface Tracing {
    readonly tracer: Tracer;
    readonly propagator: W3CTraceContextPropagator;
    /** Writes what is still held; called in a planned stop so that no span is lost. */
    shutdown(): Promise<void>;
}

/** Writes spans to the log, one line each, for whatever collects the log. */
class LogSpanExporter implements SpanExporter {
    readonly #logger: Logger;

    constructor(logger: Logger) {
        this.#logger = logger;
    }

    export(spans: ReadableSpan[], done: (result: ExportResult) => void): void {
        for (const span of spans) {
            this.#logger.info("span", {
                name: span.name,
                traceId: span.spanContext().traceId,
                spanId: span.spanContext().spanId,
                parentSpanId: span.parentSpanContext?.spanId,
                durationMs: span.duration[0] * 1e3 + span.duration[1] / 1e6,
                attributes: JSON.stringify(span.attributes),
            });
        }
        done({ code: ExportResultCode.SUCCESS });
    }

    shutdown(): Promise<void> {
        return Promise.resolve();
    }
}

/** How spans are taken. */
export interface TracingOptions {
    readonly process: string;
    /** Share of traces begun here that are recorded, 0 to 1; a caller's own decision goes before it. */
    readonly samplingRatio: number;
    readonly logger: Logger;
}

/**
 * Makes a process's OpenTelemetry tracer.
 *
 * @param options - name, share and where spans go
 * @returns the tracer, to be shut down at the end
 */
export function createTracing(options: TracingOptions): Tracing {
    const provider = new NodeTracerProvider({
        resource: resourceFromAttributes({ "service.name": options.process }),
        sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(options.samplingRatio) }),
        spanProcessors: [new BatchSpanProcessor(new LogSpanExporter(options.logger))],
    });
    return {
        tracer: provider.getTracer("galenaglade"),
        propagator: new W3CTraceContextPropagator(),
        shutdown: () => provider.shutdown(),
    };
}
