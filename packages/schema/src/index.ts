/** The operators' calls: code generated from proto/galenaglade/operator/v1/operator.proto, and its conversions. */
export { fromConfigurationMessage, toConfigurationMessage, toZoneStateEnum } from "./configurationMessages.js";
export * from "./generated/galenaglade/operator/v1/operator_pb.js";
