import { configurationSchema, formatOptions } from "@galenaglade/configuration";
import { edgeSettingsSchema } from "@galenaglade/edge";
import { adminSettingsSchema, gatewaySettingsSchema } from "@galenaglade/settings";
import { type z } from "zod";

/** A documentation page that lists the options of a schema. */
export interface OptionPage {
    readonly path: string;
    readonly schema: z.ZodType;
}

/** All documentation pages with options. */
export const optionPages: readonly OptionPage[] = [
    { path: "docs/config/gateway.md", schema: gatewaySettingsSchema },
    { path: "docs/config/edge.md", schema: edgeSettingsSchema },
    { path: "docs/config/admin.md", schema: adminSettingsSchema },
    { path: "docs/config/configuration.md", schema: configurationSchema },
];

const begin = "<!-- options, written by npm run options -->\n";
const end = "<!-- end of options -->\n";

/**
 * Replaces the options on a page with those of a schema.
 *
 * @param page - text of the page
 * @param schema - the schema
 * @returns the page with the options of the schema
 * @throws Error if the page lacks the markers of its options
 */
export function renderOptionPage(page: string, schema: z.ZodType): string {
    const from = page.indexOf(begin);
    const to = page.indexOf(end);
    if (from < 0 || to < from) {
        throw new Error("the markers of the options are missing on the page");
    }
    return `${page.slice(0, from)}${begin}\n${formatOptions(schema)}\n\n${page.slice(to)}`;
}
