import type { Finding } from "@persimmonpitch/findings/finding.js";
import type { Problem } from "@persimmonpitch/schema/problem.js";

/** An entry that could not be reached, and why. */
export interface FailedEntry {
    readonly url: string;
    readonly detail: string;
}

/** Why a command did not succeed. */
export type CliFailure =
    /** The command line or the settings are wrong. */
    | { readonly kind: "usage"; readonly findings: readonly Finding[]; }
    /** An input file has faults. */
    | { readonly kind: "input"; readonly findings: readonly Finding[]; }
    /** The server refused. */
    | { readonly kind: "problem"; readonly problem: Problem; }
    /** Another operator has loaded a configuration since. */
    | { readonly kind: "conflict"; readonly readVersion: number; readonly currentVersion: number; }
    /** No entry took the request, so it was not run. */
    | { readonly kind: "unreachable"; readonly entries: readonly FailedEntry[]; }
    /** The request was sent, but no whole answer came back. */
    | { readonly kind: "lostAnswer"; readonly entry: FailedEntry; }
    /** The answer is not the whole answer to the request. */
    | { readonly kind: "wrongAnswer"; readonly findings: readonly Finding[]; }
    /** The answer broke off or does not satisfy its schema. */
    | { readonly kind: "invalidAnswer"; readonly entry: FailedEntry; };

export type CliFailureKind = CliFailure["kind"];
