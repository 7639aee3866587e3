/** Logs, metrics and traces. */
export { createLogger, type LogFields, type Logger, type LoggerOptions, type LogLevel, logLevels } from "./logger.js";
export { createMetrics, type Metrics } from "./metrics.js";
export { createTracing, type Tracing, type TracingOptions } from "./tracing.js";
