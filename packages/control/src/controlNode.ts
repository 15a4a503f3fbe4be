import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { withAnySignal } from "@persimmonpitch/clock/withAnySignal.js";
import type { DispatchOptions } from "@persimmonpitch/dispatch/dispatchOptions.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import type { StoredRow } from "@persimmonpitch/workload/storedRow.js";
import type { Timings } from "@persimmonpitch/workload/timings.js";
import type { AdvicePort } from "./advicePort.js";
import type { ConfigHolder } from "./configHolder.js";
import { Controller } from "./controller.js";
import type { ConnectLink, TakenRole } from "./controllerContext.js";
import { ControllerSuitability } from "./controllerSuitability.js";
import { DirectPathHealth } from "./directPathHealth.js";
import { Election } from "./election.js";
import type { EvacuationHolder } from "./evacuationHolder.js";
import { ForwardingStore } from "./forwardingStore.js";
import { PeerLinks } from "./peerLinks.js";
import type { DirectStores } from "./peerServer.js";
import { servePeer } from "./peerServer.js";
import { register } from "./registration.js";
import { Replica } from "./replica.js";
import type { ProcessRow } from "./rows.js";
import { rowKeys } from "./rows.js";
import type { RowStore } from "./rowStore.js";
import type { RowSink } from "./tableFollower.js";
import { TableFollower } from "./tableFollower.js";

export interface ControlNodeOptions {
    readonly self: ProcessRow;
    readonly stores: DirectStores;
    /** Receives the rows of the operator table. */
    readonly operatorRows: RowSink;
    readonly config: ConfigHolder;
    readonly evacuation: EvacuationHolder;
    readonly timings: Timings;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly connect: ConnectLink;
    readonly random: () => number;
    /** Whether this process, as the controller, publishes the load; by default it does not. */
    readonly publishesLoad?: (() => boolean) | undefined;
    /** Parameters of the decisions that differ from the defaults. */
    readonly dispatchOptions?: (() => Partial<DispatchOptions>) | undefined;
    /** `undefined` if no advice service is configured. */
    readonly advice?: AdvicePort | undefined;
}

/** Delay between polls on entries without the controller role, so that several changes share one store call. */
const FOLLOWER_POLL_DELAY_MS: Millis = 40;

/** An idle poll returns after 1 s, and a slow store adds 250 ms. */
const STORE_SILENCE_TIMEOUT_MS: Millis = 1_500;

/** Gives another entry time to take the role after this one released it because it reached only the store. */
const UNREACHED_ELECTION_DELAY_MS: Millis = 3_000;

/** Follows the store, takes part in the controller election and runs the controller while this entry holds the role. */
export class ControlNode {
    readonly replica: Replica;
    readonly store: RowStore;
    readonly follower: TableFollower;
    private readonly operatorFollower: TableFollower;
    private readonly peers: PeerLinks;
    private readonly pathHealth: DirectPathHealth;
    private readonly suitability: ControllerSuitability;
    private readonly election: Election;
    /** One object for all controllers of this process, so that changes reach a running one. */
    private readonly timings: Timings;
    private controller: Controller | undefined;
    private pendingElection: Promise<TakenRole | undefined> | undefined;
    private readonly stopped = new AbortController();
    private readonly released = new AbortController();

    constructor(private readonly options: ControlNodeOptions) {
        const { self, stores, operatorRows, config, evacuation, timings, clock, logger, connect, random } = options;
        this.timings = { ...timings };
        const { vm, instanceId } = self;
        this.replica = new Replica(logger);
        const pathHealth = new DirectPathHealth(clock);
        this.pathHealth = pathHealth;
        this.peers = new PeerLinks({
            vm,
            replica: this.replica,
            config,
            evacuation,
            clock,
            logger,
            connect,
            random,
            onRefused: instanceId => {
                this.election.markRefused(instanceId);
            },
        });
        const forwarding = (name: keyof DirectStores): ForwardingStore =>
            new ForwardingStore({
                direct: stores[name],
                pathHealth,
                peers: () => this.peers.routes(name),
                clock,
                logger,
                name,
            });
        this.store = forwarding("state");
        this.follower = new TableFollower({
            name: "state",
            store: this.store,
            sink: this.replica,
            clock,
            logger,
            random,
            pauseMs: () => this.controller === undefined ? FOLLOWER_POLL_DELAY_MS : 0,
        });
        this.operatorFollower = new TableFollower({
            name: "operator",
            store: forwarding("operator"),
            sink: operatorRows,
            clock,
            logger,
            random,
        });
        this.suitability = new ControllerSuitability({
            cores: self.cores,
            replica: this.replica,
            peers: this.peers,
            clock,
        });
        this.election = new Election({
            suitability: this.suitability,
            vm,
            instanceId,
            store: this.store,
            replica: this.replica,
            follower: this.follower,
            clock,
            logger,
            random,
        });
    }

    /**
     * Whether this entry can serve requests: it has the rows and a configuration and is not partitioned. A store outage
     * that affects all entries does not make it unready, because no other entry would serve requesters better.
     */
    get isReady(): boolean {
        const { current } = this.options.config;
        return this.follower.hasScanned && current !== undefined && !this.isPartitioned;
    }

    /** Whether other entries are known but neither they nor the store respond. */
    private get isPartitioned(): boolean {
        return (this.follower.answerAgeMs ?? 0) > STORE_SILENCE_TIMEOUT_MS && this.peers.isIsolated;
    }

    /** Serves a link opened by another entry. */
    async servePeer(link: Link): Promise<void> {
        const { clock, stores, config, evacuation } = this.options;
        await servePeer(link, {
            clock,
            stores,
            pathHealth: this.pathHealth,
            config,
            evacuation,
            onRowsChanged: rows => {
                this.replica.apply(rows);
            },
        });
    }

    /**
     * Shares committed rows with all entries at once. Without this, jobs reach the controller, and their ends the
     * requester, only with the next poll response, which comes a second later while the store drops its history.
     */
    announce(rows: readonly StoredRow[]): void {
        this.replica.apply(rows);
        this.peers.announce(rows);
    }

    /** Replaces the timings, also those of a controller that is running. */
    setTimings(timings: Timings): void {
        Object.assign(this.timings, timings);
    }

    /** Runs until `stop` is called. */
    async run(): Promise<void> {
        const { signal } = this.stopped;
        const { self, clock, logger, random } = this.options;
        await Promise.all([
            this.follower.run(signal),
            this.operatorFollower.run(signal),
            this.peers.run(signal),
            register({ store: this.store, key: rowKeys.entry(self.vm), row: self, clock, logger, random }, signal),
            this.runElection(signal),
        ]);
    }

    /** Releases the role if it is held and stops taking part in elections. */
    async release(): Promise<void> {
        this.released.abort();
        await this.pendingElection;
        await this.controller?.release();
    }

    /** Stops all tasks. */
    stop(): void {
        this.stopped.abort();
    }

    private async runElection(signal: AbortSignal): Promise<void> {
        while (!signal.aborted && !this.released.signal.aborted) {
            this.pendingElection = withAnySignal(
                [signal, this.released.signal],
                electionSignal => this.election.takeRole(electionSignal),
            );
            const role = await this.pendingElection;
            if (role === undefined) {
                return;
            }
            this.suitability.resetHandOver();
            const { clock, logger, connect, random, config, evacuation, advice } = this.options;
            this.controller = new Controller({
                store: this.store,
                replica: this.replica,
                config,
                evacuation,
                clock,
                logger,
                timings: this.timings,
                connect,
                random,
                advice,
                storeClockOffsetMs: () => this.follower.storeClockOffsetMs,
                announce: rows => {
                    this.announce(rows);
                },
                publishesLoad: this.options.publishesLoad,
                dispatchOptions: this.options.dispatchOptions,
                isIsolated: () => this.peers.isIsolated,
                shouldHandOver: () => this.suitability.shouldHandOver(),
            }, role);
            const exit = await this.controller.run(signal);
            this.controller = undefined;
            if (exit === "unreached") {
                await withAnySignal(
                    [signal, this.released.signal],
                    waitSignal => clock.sleep(UNREACHED_ELECTION_DELAY_MS, waitSignal),
                );
            }
        }
    }
}
