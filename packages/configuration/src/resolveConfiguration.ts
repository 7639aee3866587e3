import { type Either, Left, Right } from "purify-ts";
import { type DocumentFault, createSchemaResolver } from "./documentFaults.js";
import { type Configuration, configurationSchema } from "./model.js";
import { findReferenceFaults } from "./findReferenceFaults.js";

const resolveShape = createSchemaResolver(configurationSchema);

/**
 * Validates a parsed document and fills in all defaults.
 *
 * @param document - output of a YAML or JSON parser
 * @returns all faults at once, or the frozen configuration
 */
export function resolveConfiguration(document: unknown): Either<readonly DocumentFault[], Configuration> {
    const references = [...findReferenceFaults(document)];
    return resolveShape(document).caseOf<Either<readonly DocumentFault[], Configuration>>({
        Left: faults => Left([...faults, ...references]),
        Right: cfg => references.length > 0 ? Left(references) : Right(deepFreeze(cfg)),
    });
}

function deepFreeze<T>(value: T): T {
    if (typeof value === "object" && value !== null) {
        Object.values(value).forEach(deepFreeze);
        Object.freeze(value);
    }
    return value;
}
