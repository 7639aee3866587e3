/**
 * The operators' API: code generated from proto/galenaglade/operator/v1/operator.proto, and conversions of its
 * messages.
 */
export { fromConfigurationMessage, toConfigurationMessage, toZoneStateEnum } from "./configurationMessages.js";
export * from "./generated/galenaglade/operator/v1/operator_pb.js";
