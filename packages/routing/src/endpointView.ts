/** What an entry knows of an executor. Load reports arrive late, so the entry adds what it did itself since then. */
import type { Millis } from "@persimmonpitch/clock/clock.js";

/** What routing may do with an endpoint. */
export type EndpointState =
    /** Takes new requests. */
    | "ready"
    /** Finishes its requests and takes none. */
    | "leaving"
    /** Its connection is closed or its reports have stopped. */
    | "lost";

/** The load that an executor's agent reported. */
export interface LoadReport {
    /** Requests that hold a slot, from all entries. */
    readonly inFlight: number;
    /** Open connections, from all entries. */
    readonly connections: number;
    /** Time at which this entry received it; clocks of different VMs are not compared. */
    readonly at: Millis;
}

/** An executor as one entry sees it. */
export interface EndpointView {
    readonly vmId: string;
    readonly dataCentre: string;
    readonly service: string;
    readonly state: EndpointState;
    readonly slots: number;
    readonly connections: number;
    /** Requests that this entry has sent and that have not ended. */
    readonly ownInFlight: number;
    readonly lastReport?: LoadReport;
    /** Own requests in flight when the last report arrived; the rest of the reported load belongs to other entries. */
    readonly ownAtReport: number;
}

/** What an agent announces of its executor. */
export type EndpointAnnouncement = Pick<EndpointView, "vmId" | "dataCentre" | "service" | "slots" | "connections">;

/** Reports come every second; after three missed ones the load of other entries is unknown and not counted. */
export const STALE_REPORT_MS = 3_000;

/** The view of an executor that has just announced itself. */
export const announcedEndpoint = (announcement: EndpointAnnouncement): EndpointView => ({
    ...announcement,
    state: "ready",
    ownInFlight: 0,
    ownAtReport: 0,
});

/** The view after a load report; a report older than the present one changes nothing. */
export const withReport = (view: EndpointView, report: LoadReport): EndpointView =>
    view.lastReport !== undefined && report.at < view.lastReport.at
        ? view
        : { ...view, lastReport: report, ownAtReport: view.ownInFlight };

/** The view after this entry sent a request. */
export const withSent = (view: EndpointView): EndpointView => ({ ...view, ownInFlight: view.ownInFlight + 1 });

/** The view after a request of this entry ended. */
export const withEnded = (view: EndpointView): EndpointView => ({
    ...view,
    ownInFlight: Math.max(0, view.ownInFlight - 1),
});

/** The view after the agent refused a request as busy: all slots are taken until the next report says otherwise. */
export const withBusy = (view: EndpointView, now: Millis): EndpointView =>
    withReport(view, {
        inFlight: view.slots,
        connections: Math.max(view.slots, view.lastReport?.connections ?? 0),
        at: now,
    });

const othersLoad = (view: EndpointView, reported: (report: LoadReport) => number, now: Millis): number => {
    const { lastReport } = view;
    if (lastReport === undefined || now - lastReport.at > STALE_REPORT_MS) {
        return 0;
    }
    return Math.max(0, reported(lastReport) - view.ownAtReport);
};

/** Requests that hold a slot now, as far as this entry can tell. */
export const estimatedInFlight = (view: EndpointView, now: Millis): number =>
    view.ownInFlight + othersLoad(view, report => report.inFlight, now);

/** Connections in use now, as far as this entry can tell. */
export const estimatedConnections = (view: EndpointView, now: Millis): number =>
    view.ownInFlight + othersLoad(view, report => report.connections, now);

/** Share of the slots that are taken. */
export const estimatedLoad = (view: EndpointView, now: Millis): number => estimatedInFlight(view, now) / view.slots;

/** Whether a new request would find a slot and a connection. */
export const hasRoom = (view: EndpointView, now: Millis): boolean =>
    view.state === "ready"
    && estimatedInFlight(view, now) < view.slots
    && estimatedConnections(view, now) < view.connections;
