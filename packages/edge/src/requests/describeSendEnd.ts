import { type SendEnd } from "@galenaglade/placement";

/** @returns a short label of how a send ended, for logs and metrics */
export function describeSendEnd(end: SendEnd): string {
    switch (end.type) {
        case "answered":
            return `answered ${end.status}`;
        case "abandoned":
            return "abandoned";
        default:
            return end.reason;
    }
}
