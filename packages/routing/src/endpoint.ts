/**
 * State of an endpoint as known to one entry.
 * Load reports arrive with a delay, so the entry adds the requests that it has sent since the last one.
 */
import type { Millis } from "@persimmonpitch/clock/clock.js";

/** Availability of an endpoint. */
export type EndpointState =
    /** Accepts new requests. */
    | "ready"
    /** Finishes its requests and accepts no new ones. */
    | "leaving"
    /** Its connection is closed or its reports have stopped. */
    | "lost";

/** Load reported by the agent of an executor. */
export interface LoadReport {
    /** Requests in flight, from all entries; each occupies a slot. */
    readonly inFlight: number;
    /** Open connections, from all entries. */
    readonly connections: number;
    /** Time at which this entry received the report; clocks of different VMs are not compared. */
    readonly at: Millis;
}

/** An executor of a service, as known to one entry. */
export interface Endpoint {
    readonly vmId: string;
    readonly dataCentre: string;
    readonly service: string;
    readonly state: EndpointState;
    readonly slots: number;
    readonly connections: number;
    /** Requests in flight that this entry sent. */
    readonly ownInFlight: number;
    readonly lastReport?: LoadReport;
    /** `ownInFlight` when the last report arrived; the rest of the reported load comes from other entries. */
    readonly ownInFlightAtReport: number;
}

/** Properties with which an executor is registered. */
export type EndpointRegistration = Pick<Endpoint, "vmId" | "dataCentre" | "service" | "slots" | "connections">;

/** Reports arrive every second; after three missed ones, the load from other entries is unknown and not counted. */
export const LOAD_REPORT_MAX_AGE_MS = 3_000;

/** Creates a newly registered endpoint, which is ready and has no requests in flight. */
export const createEndpoint = (registration: EndpointRegistration): Endpoint => ({
    ...registration,
    state: "ready",
    ownInFlight: 0,
    ownInFlightAtReport: 0,
});

/** Returns the endpoint with a load report applied; a report older than the last one is ignored. */
export const withLoadReport = (endpoint: Endpoint, report: LoadReport): Endpoint =>
    endpoint.lastReport !== undefined && report.at < endpoint.lastReport.at
        ? endpoint
        : { ...endpoint, lastReport: report, ownInFlightAtReport: endpoint.ownInFlight };

/** Returns the endpoint after this entry sent a request. */
export const withRequestSent = (endpoint: Endpoint): Endpoint => ({
    ...endpoint,
    ownInFlight: endpoint.ownInFlight + 1,
});

/** Returns the endpoint after a request of this entry ended. */
export const withRequestEnded = (endpoint: Endpoint): Endpoint => ({
    ...endpoint,
    ownInFlight: Math.max(0, endpoint.ownInFlight - 1),
});

/** Returns the endpoint after a busy refusal: all slots count as occupied until the next load report. */
export const withBusyRefusal = (endpoint: Endpoint, now: Millis): Endpoint =>
    withLoadReport(endpoint, {
        inFlight: endpoint.slots,
        connections: Math.max(endpoint.slots, endpoint.lastReport?.connections ?? 0),
        at: now,
    });

const loadFromOtherEntries = (endpoint: Endpoint, loadOf: (report: LoadReport) => number, now: Millis): number => {
    const { lastReport } = endpoint;
    if (lastReport === undefined || now - lastReport.at > LOAD_REPORT_MAX_AGE_MS) {
        return 0;
    }
    return Math.max(0, loadOf(lastReport) - endpoint.ownInFlightAtReport);
};

/** Estimated requests in flight, from all entries. */
export const estimatedInFlight = (endpoint: Endpoint, now: Millis): number =>
    endpoint.ownInFlight + loadFromOtherEntries(endpoint, report => report.inFlight, now);

/** Estimated open connections, from all entries. */
export const estimatedConnections = (endpoint: Endpoint, now: Millis): number =>
    endpoint.ownInFlight + loadFromOtherEntries(endpoint, report => report.connections, now);

/** Estimated fraction of the slots that are occupied. */
export const estimatedUtilization = (endpoint: Endpoint, now: Millis): number =>
    estimatedInFlight(endpoint, now) / endpoint.slots;

/** Whether the endpoint is ready and is estimated to have a free slot and a free connection. */
export const hasFreeCapacity = (endpoint: Endpoint, now: Millis): boolean =>
    endpoint.state === "ready"
    && estimatedInFlight(endpoint, now) < endpoint.slots
    && estimatedConnections(endpoint, now) < endpoint.connections;
