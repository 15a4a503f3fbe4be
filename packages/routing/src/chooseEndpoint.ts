/** Chooses the endpoint for a request: locality first, then the power of two choices. */
import type { Millis } from "@persimmonpitch/clock/clock.js";
import { pipe } from "fp-ts/lib/function.js";
import * as ReadonlyArray from "fp-ts/lib/ReadonlyArray.js";
import type { Endpoint } from "./endpoint.js";
import { estimatedUtilization, hasFreeCapacity } from "./endpoint.js";

/** Two random numbers in [0, 1). The caller generates them, so that choices are reproducible. */
export type RandomPair = readonly [number, number];

/** Criteria by which the endpoint for a request is chosen. */
export interface EndpointCriteria {
    readonly service: string;
    /** Data centre of the entry. */
    readonly localDataCentre: string;
    /** Endpoints on which an earlier attempt of the request ran or may have run. */
    readonly excludedEndpoints: ReadonlySet<string>;
    /** Whether the circuit breaker and outlier ejection allow requests to the endpoint. */
    readonly isHealthy: (vmId: string) => boolean;
    /** Expected time until a slot is free in the local data centre, if all are occupied. */
    readonly expectedLocalWaitMs: Millis;
    readonly random: RandomPair;
}

export interface ChoiceOptions {
    /** Round trip to another data centre. The request waits for a local slot if that is expected to take no longer. */
    readonly crossDataCentreRoundTripMs: Millis;
    /** Disabled only for comparisons: all data centres are treated as local. */
    readonly preferLocalDataCentre: boolean;
    /** Disabled only for comparisons: a single random endpoint instead of the power of two choices. */
    readonly powerOfTwoChoices: boolean;
}

export const DEFAULT_CHOICE_OPTIONS: ChoiceOptions = {
    crossDataCentreRoundTripMs: 10,
    preferLocalDataCentre: true,
    powerOfTwoChoices: true,
};

/** The chosen endpoint, or why there is none at present. */
export type EndpointChoice =
    | { readonly kind: "chosen"; readonly endpoint: Endpoint; readonly crossDataCentre: boolean; }
    /** No usable endpoint has free capacity, or a local slot is expected before a remote endpoint could be reached. */
    | { readonly kind: "full"; }
    /** No endpoint of the service is ready, healthy and not excluded. */
    | { readonly kind: "none"; };

const elementAt = <T>(items: readonly T[], random: number): T | undefined =>
    items[Math.min(items.length - 1, Math.floor(random * items.length))];

/** The endpoint with the lower utilization of two distinct random ones. */
const powerOfTwoChoices = (
    endpoints: readonly Endpoint[],
    [firstRandom, secondRandom]: RandomPair,
    now: Millis,
): Endpoint | undefined => {
    const first = elementAt(endpoints, firstRandom);
    const second = elementAt(endpoints.filter(endpoint => endpoint !== first), secondRandom);
    if (first === undefined || second === undefined) {
        return first;
    }
    return estimatedUtilization(second, now) < estimatedUtilization(first, now) ? second : first;
};

/** Chooses an endpoint, preferably in the local data centre, by the power of two choices. */
export const chooseEndpoint = (
    endpoints: readonly Endpoint[],
    criteria: EndpointCriteria,
    now: Millis,
    options: ChoiceOptions = DEFAULT_CHOICE_OPTIONS,
): EndpointChoice => {
    const usable = endpoints.filter(endpoint =>
        endpoint.service === criteria.service
        && endpoint.state === "ready"
        && !criteria.excludedEndpoints.has(endpoint.vmId)
        && criteria.isHealthy(endpoint.vmId)
    );
    if (usable.length === 0) {
        return { kind: "none" };
    }
    const isLocal = (endpoint: Endpoint) => endpoint.dataCentre === criteria.localDataCentre;
    const { left: remote, right: local } = pipe(
        usable,
        ReadonlyArray.filter(endpoint => hasFreeCapacity(endpoint, now)),
        ReadonlyArray.partition(endpoint => isLocal(endpoint) || !options.preferLocalDataCentre),
    );
    const canUseRemote = !usable.some(isLocal) || criteria.expectedLocalWaitMs > options.crossDataCentreRoundTripMs;
    const candidates = local.length > 0 || !canUseRemote ? local : remote;
    const endpoint = options.powerOfTwoChoices
        ? powerOfTwoChoices(candidates, criteria.random, now)
        : elementAt(candidates, criteria.random[0]);
    return endpoint === undefined
        ? { kind: "full" }
        : { kind: "chosen", endpoint, crossDataCentre: !isLocal(endpoint) };
};
