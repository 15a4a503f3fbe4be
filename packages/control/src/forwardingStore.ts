import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type {
    CommitError,
    Committed,
    ReadError,
    RowChanges,
    RowPage,
    RowRange,
    RowTransaction,
} from "@persimmonpitch/workload/storedRow.js";
import type { Result } from "true-myth";
import type { DirectPathHealth } from "./directPathHealth.js";
import type { RowStore } from "./rowStore.js";

/** After a failed call through a peer, other peers are preferred for this long. */
const PEER_AVOIDANCE_MS: Millis = 2_000;

/** Name of the direct route in the log. */
const DIRECT_ROUTE = "direct";

/** Route to the store through a peer. */
export interface PeerRoute {
    readonly vm: string;
    readonly store: RowStore;
}

export interface ForwardingStoreOptions {
    readonly direct: RowStore;
    readonly pathHealth: DirectPathHealth;
    /** Routes through peers, best first. */
    readonly peers: () => readonly PeerRoute[];
    readonly clock: Clock;
    readonly logger: Logger;
    readonly name: string;
}

/** What is logged of an error; some kinds have no detail. */
interface RouteError {
    readonly kind: string;
    readonly detail?: string;
}

/** How the errors of one kind of call are classified. */
interface ErrorPolicy<E> {
    readonly isCertainlyNotApplied: (error: E) => boolean;
    readonly isRouteFailure: (error: E) => boolean;
    /** Whether this kind of call may probe the store. It must be harmless if it gets no answer. */
    readonly mayProbe: boolean;
}

/** One store call. A probe checks whether the store responds and should return quickly. */
type StoreCall<T, E> = (store: RowStore, isProbe: boolean) => Promise<Result<T, E>>;

const COMMIT_POLICY: ErrorPolicy<CommitError> = {
    // An unclear commit may have taken effect, so only the caller knows whether it can be repeated.
    isCertainlyNotApplied: error => error.kind === "unavailable",
    isRouteFailure: error => error.kind === "unavailable" || error.kind === "unclear",
    mayProbe: false,
};

const isUnavailable = (error: ReadError): boolean => error.kind === "unavailable";

const READ_POLICY: ErrorPolicy<ReadError> = {
    isCertainlyNotApplied: isUnavailable,
    isRouteFailure: isUnavailable,
    mayProbe: true,
};

/** A store that forwards calls through a peer while the store does not serve this process directly. */
export class ForwardingStore implements RowStore {
    /** Until when to avoid each peer that failed, because the store may refuse it as well. */
    private readonly avoidedUntil = new Map<string, Millis>();
    /** The route that was answered last. */
    private answeredRoute = DIRECT_ROUTE;
    private answeredAt: Millis | undefined;
    /** The latest failure of each route since any route was answered. */
    private readonly failures = new Map<string, string>();

    constructor(private readonly options: ForwardingStoreOptions) {}

    async commit(transaction: RowTransaction): Promise<Result<Committed, CommitError>> {
        return this.callWithFallback(store => store.commit(transaction), COMMIT_POLICY);
    }

    async scan(range: RowRange): Promise<Result<RowPage, ReadError>> {
        return this.callWithFallback(store => store.scan(range), READ_POLICY);
    }

    async follow(after: number, waitMs: Millis, signal?: AbortSignal): Promise<Result<RowChanges, ReadError>> {
        // A probe does not wait for changes, so an unresponsive store delays it by one timeout at most.
        return this.callWithFallback(
            (store, isProbe) => store.follow(after, isProbe ? 0 : waitMs, signal),
            READ_POLICY,
            signal,
        );
    }

    private async callWithFallback<T, E extends RouteError>(
        call: StoreCall<T, E>,
        policy: ErrorPolicy<E>,
        signal?: AbortSignal,
    ): Promise<Result<T, E>> {
        const { pathHealth, direct } = this.options;
        const isProbe = pathHealth.isSuspect && policy.mayProbe && pathHealth.tryStartProbe();
        const firstPeer = pathHealth.isSuspect && !isProbe ? this.bestPeer() : undefined;
        const callThrough = (route: PeerRoute | undefined) =>
            this.callOnRoute(() => call(route?.store ?? direct, isProbe), policy, route, signal);
        const outcome = await callThrough(firstPeer);
        if (outcome.isOk || signal?.aborted === true || !policy.isCertainlyNotApplied(outcome.error)) {
            return outcome;
        }
        if (firstPeer !== undefined) {
            return callThrough(undefined);
        }
        const fallbackPeer = this.bestPeer();
        return fallbackPeer === undefined ? outcome : callThrough(fallbackPeer);
    }

    /** Makes a call through a peer, or directly if `peer` is `undefined`, and records the health of the route. */
    private async callOnRoute<T, E extends RouteError>(
        call: () => Promise<Result<T, E>>,
        { isRouteFailure }: ErrorPolicy<E>,
        peer: PeerRoute | undefined,
        signal: AbortSignal | undefined,
    ): Promise<Result<T, E>> {
        const { pathHealth, clock } = this.options;
        const outcome = await call();
        const isFailure = outcome.isErr && isRouteFailure(outcome.error);
        if (isFailure && signal?.aborted === true) {
            // An aborted call says nothing about the route.
            return outcome;
        }
        if (peer !== undefined && isFailure) {
            this.avoidedUntil.set(peer.vm, clock.now() + PEER_AVOIDANCE_MS);
        }
        else if (peer === undefined && isFailure) {
            pathHealth.recordFailure();
        }
        else if (peer === undefined) {
            pathHealth.recordAnswer();
        }
        this.logRouteChange(peer?.vm ?? DIRECT_ROUTE, isFailure ? outcome.error : undefined);
        return outcome;
    }

    /** Logs when another route is answered than before, with the routes that failed in between. */
    private logRouteChange(route: string, error: RouteError | undefined): void {
        const { clock, logger, name } = this.options;
        if (error !== undefined) {
            this.failures.set(route, error.detail ?? error.kind);
            return;
        }
        if (route !== this.answeredRoute) {
            logger.log("info", "store.routeChanged", {
                table: name,
                route,
                previous: this.answeredRoute,
                silenceMs: this.answeredAt === undefined ? undefined : Math.round(clock.now() - this.answeredAt),
                failed: [...this.failures].map(([failed, detail]) => `${failed}: ${detail}`).join("; "),
            });
        }
        this.answeredRoute = route;
        this.answeredAt = clock.now();
        this.failures.clear();
    }

    /** Returns the first peer without a recent failure, otherwise the first peer. */
    private bestPeer(): PeerRoute | undefined {
        const now = this.options.clock.now();
        const peers = this.options.peers();
        return peers.find(({ vm }) => (this.avoidedUntil.get(vm) ?? 0) <= now) ?? peers[0];
    }
}
