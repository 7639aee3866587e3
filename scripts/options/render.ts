import { configurationSchema, formatOptions } from "@galenaglade/configuration";
import { edgeSettingsSchema } from "@galenaglade/edge";
import { adminSettingsSchema, gatewaySettingsSchema } from "@galenaglade/settings";
import { type z } from "zod";

/** A page of the documentation that lists a schema's options. */
export interface OptionPage {
    readonly path: string;
    readonly schema: z.ZodType;
}

/** Every page with options. */
export const optionPages: readonly OptionPage[] = [
    { path: "docs/config/gateway.md", schema: gatewaySettingsSchema },
    { path: "docs/config/edge.md", schema: edgeSettingsSchema },
    { path: "docs/config/admin.md", schema: adminSettingsSchema },
    { path: "docs/config/configuration.md", schema: configurationSchema },
];

const begin = "<!-- options, written by npm run options -->\n";
const end = "<!-- end of options -->\n";

/**
 * Puts a schema's options in the place of those on a page.
 *
 * @param page - the page's text
 * @param schema - the schema
 * @returns the page with the options as the schema has them
 * @throws where the page doesn't mark their place
 */
export function renderOptionPage(page: string, schema: z.ZodType): string {
    const from = page.indexOf(begin);
    const to = page.indexOf(end);
    if (from < 0 || to < from) {
        throw new Error("the page has no place for options");
    }
    return `${page.slice(0, from)}${begin}\n${formatOptions(schema)}\n\n${page.slice(to)}`;
}
