/** Logging, metrics and tracing. */
export { createJsonLogger, type JsonLoggerOptions } from "./jsonLogger.js";
export { type LogFields, type Logger, type LogLevel, logLevels } from "./logFields.js";
export { createLogger, type LoggerOptions } from "./logger.js";
export { createMetrics, type Metrics } from "./metrics.js";
export { createTracing, type Tracing, type TracingOptions } from "./tracing.js";
