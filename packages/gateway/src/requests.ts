import type { Queue } from "@persimmonpitch/workload/clusterConfig.js";

/** Reasons why a request fails. */
export type GatewayError =
    /** There is no configuration yet, or the store is unreachable. The request had no effect. */
    | "unavailable"
    /** The result of the commit is unknown: the request may have taken effect. */
    | "unclear"
    | "unknownQueue"
    | "unknownKey"
    | "unknownJob"
    /** The requester cancelled the job before it was stored. It is not stored and never runs. */
    | "cancelled"
    /** The id belongs to the job of another queue or team. The submitted job is not stored and never runs. */
    | "idInUse"
    /** The requester has cancelled too many jobs that are not stored; this one is not cancelled. */
    | "tooManyCancellations"
    /** The cluster cannot serve the job in time. It is not stored and never runs. */
    | "overloaded"
    /** The store rejects this job permanently; a retry does not help. */
    | "rejected";

/** Address and credentials of a request. */
export interface IncomingRequest {
    readonly host: string;
    readonly path: string;
    readonly apiKey: string | undefined;
}

/** A request that is authorized by the current configuration. */
export interface AuthorizedRequest {
    readonly queue: Queue;
    readonly team: string | undefined;
    /** Rest of the path after the queue's prefix: a job id, or empty for the queue itself. */
    readonly jobId: string;
}
