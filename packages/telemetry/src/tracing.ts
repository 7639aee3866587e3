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

/** Tracing of a process. */
export interface Tracing {
    readonly tracer: Tracer;
    readonly propagator: W3CTraceContextPropagator;
    /** Flushes buffered spans; must be called during a planned stop so that no span is lost. */
    shutdown(): Promise<void>;
}

/** Exports spans as log lines, one per span. */
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

/** Options of a tracer. */
export interface TracingOptions {
    readonly process: string;
    /**
     * Ratio of traces started here that are recorded, 0 to 1; the sampling decision of a caller's trace takes
     * precedence.
     */
    readonly samplingRatio: number;
    readonly logger: Logger;
}

/**
 * Creates a process's OpenTelemetry tracer, which exports spans to the log.
 *
 * @param options - process name, sampling ratio and logger
 * @returns the tracing, which must be shut down when the process stops
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
