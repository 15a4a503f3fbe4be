import type { Configuration, Operator } from "@persimmonpitch/schema/configuration.js";
import { createHash, timingSafeEqual } from "node:crypto";

/** Authenticated sender of a request. */
export type Principal =
    | { readonly kind: "team"; readonly team: string; }
    | { readonly kind: "operator"; readonly operator: string; };

const BEARER_HEADER = /^Bearer ([\x21-\x7e]{8,512})$/;

const isSameDigest = (expectedHex: string, actual: Buffer): boolean =>
    timingSafeEqual(Buffer.from(expectedHex, "hex"), actual);

/**
 * Returns the principal whose token an `Authorization` header contains. All digests are compared, each in constant time,
 * so that the duration reveals nothing about the tokens.
 */
export const authenticate = (
    header: string | undefined,
    configuration: Configuration | undefined,
    bootstrapOperator: Operator | undefined,
): Principal | undefined => {
    const token = BEARER_HEADER.exec(header ?? "")?.[1];
    if (token === undefined) {
        return undefined;
    }
    const digest = createHash("sha256").update(token).digest();
    const teams = configuration?.body.teams ?? [];
    // The bootstrap operator is valid only until a configuration with operators is in force.
    const operators = configuration?.body.operators ?? (bootstrapOperator === undefined ? [] : [bootstrapOperator]);
    const team = teams.filter(({ tokenSha256 }) => isSameDigest(tokenSha256, digest))[0];
    const operator = operators.filter(({ tokenSha256 }) => isSameDigest(tokenSha256, digest))[0];
    if (operator !== undefined) {
        return { kind: "operator", operator: operator.id };
    }
    return team === undefined ? undefined : { kind: "team", team: team.id };
};
