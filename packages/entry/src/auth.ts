import type { Configuration, Operator } from "@persimmonpitch/schema/configuration.js";
import { createHash, timingSafeEqual } from "node:crypto";

/** Who makes a request. */
export type Principal =
    | { readonly kind: "team"; readonly team: string; }
    | { readonly kind: "operator"; readonly operator: string; };

const BEARER = /^Bearer ([\x21-\x7e]{8,512})$/;

const isSameDigest = (expectedHex: string, actual: Buffer): boolean =>
    timingSafeEqual(Buffer.from(expectedHex, "hex"), actual);

/** Finds the principal of an `Authorization` header; all digests are compared, each in constant time. */
export const authenticate = (
    header: string | undefined,
    configuration: Configuration | undefined,
    bootstrap: Operator | undefined,
): Principal | undefined => {
    const token = BEARER.exec(header ?? "")?.[1];
    if (token === undefined) {
        return undefined;
    }
    const digest = createHash("sha256").update(token).digest();
    const teams = configuration?.body.teams ?? [];
    // The bootstrap operator counts only while no configuration names operators.
    const operators = configuration?.body.operators ?? (bootstrap === undefined ? [] : [bootstrap]);
    const team = teams.filter(({ tokenSha256 }) => isSameDigest(tokenSha256, digest))[0];
    const operator = operators.filter(({ tokenSha256 }) => isSameDigest(tokenSha256, digest))[0];
    if (operator !== undefined) {
        return { kind: "operator", operator: operator.id };
    }
    return team === undefined ? undefined : { kind: "team", team: team.id };
};
