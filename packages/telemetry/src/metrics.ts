import { type Meter } from "@opentelemetry/api";
import { PrometheusExporter, PrometheusSerializer } from "@opentelemetry/exporter-prometheus";
import { resourceFromAttributes } from "@opentelemetry/resources";
import { AggregationType, MeterProvider } from "@opentelemetry/sdk-metrics";
import { durationBucketsSeconds } from "./constants.js";

/** Metrics of a process. */
export interface Metrics {
    readonly meter: Meter;
    /** @returns all metrics in the Prometheus text format */
    render(): Promise<string>;
    shutdown(): Promise<void>;
}

/**
 * Creates a process's OpenTelemetry meter. The caller serves the rendered metrics for scraping; no port is opened.
 *
 * @param processName - the resource's `service.name`
 * @returns the metrics, which must be shut down when the process stops
 */
export function createMetrics(processName: string): Metrics {
    const reader = new PrometheusExporter({ preventServerStart: true });
    const serializer = new PrometheusSerializer();
    const provider = new MeterProvider({
        resource: resourceFromAttributes({ "service.name": processName }),
        readers: [reader],
        views: [{
            instrumentName: "http.*.request.duration",
            aggregation: {
                type: AggregationType.EXPLICIT_BUCKET_HISTOGRAM,
                options: { boundaries: [...durationBucketsSeconds] },
            },
        }],
    });
    return {
        meter: provider.getMeter("galenaglade"),
        render: async () => serializer.serialize((await reader.collect()).resourceMetrics),
        shutdown: () => provider.shutdown(),
    };
}
