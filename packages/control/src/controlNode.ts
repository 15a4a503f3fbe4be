import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { withAnySignal } from "@persimmonpitch/clock/withAnySignal.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import type { StoredRow } from "@persimmonpitch/workload/storedRow.js";
import type { Timings } from "@persimmonpitch/workload/timings.js";
import type { AdvicePort } from "./advicePort.js";
import type { ConfigBook } from "./configBook.js";
import { Controller } from "./controller.js";
import type { ConnectLink, TakenRole } from "./controllerContext.js";
import { DirectPath } from "./directPath.js";
import { Election } from "./election.js";
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

/** What a control node works on. */
export interface ControlNodeOptions {
    readonly self: ProcessRow;
    readonly stores: DirectStores;
    /** Receives the rows of the operator. */
    readonly operatorRows: RowSink;
    readonly config: ConfigBook;
    readonly timings: Timings;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly connect: ConnectLink;
    readonly random: () => number;
    /** Undefined without an advice service. */
    readonly advice?: AdvicePort | undefined;
}

/** Entries that do not decide take changes a little later, so that several share one call to the store. */
const FOLLOWER_PAUSE_MS: Millis = 40;

/** An idle poll is answered once a second, and a slow store takes a quarter of a second more. */
const STORE_SILENCE_MS: Millis = 1_500;

/** Time for another entry to take the role that a controller gave away because it reaches nobody. */
const UNREACHED_PAUSE_MS: Millis = 3_000;

/** The part of an entry that follows the store and decides when it holds the role. */
export class ControlNode {
    readonly replica: Replica;
    readonly store: RowStore;
    readonly follower: TableFollower;
    private readonly operatorFollower: TableFollower;
    private readonly peers: PeerLinks;
    private readonly path: DirectPath;
    private readonly election: Election;
    private controller: Controller | undefined;
    private taking: Promise<TakenRole | undefined> | undefined;
    private readonly stopped = new AbortController();
    private readonly released = new AbortController();

    constructor(private readonly options: ControlNodeOptions) {
        const { self, stores, operatorRows, clock, logger, connect, random } = options;
        const { vm, instanceId } = self;
        this.replica = new Replica(logger);
        const path = new DirectPath(clock);
        this.path = path;
        this.peers = new PeerLinks({
            vm,
            replica: this.replica,
            clock,
            logger,
            connect,
            random,
            onDown: instance => {
                this.election.noteDown(instance);
            },
        });
        const forwarding = (name: keyof DirectStores): ForwardingStore =>
            new ForwardingStore({
                direct: stores[name],
                path,
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
            pauseMs: () => this.controller === undefined ? FOLLOWER_PAUSE_MS : 0,
        });
        this.operatorFollower = new TableFollower({
            name: "operator",
            store: forwarding("operator"),
            sink: operatorRows,
            clock,
            logger,
            random,
        });
        this.election = new Election({
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
     * Whether requests can be answered: the rows and a configuration are known, and this process is not cut off. A
     * store that is away from all entries does not end it, because no other entry would serve the requesters better.
     */
    get isReady(): boolean {
        const { current } = this.options.config;
        return this.follower.hasScanned && current !== undefined && !this.isCutOff;
    }

    /** Whether neither the store nor another entry answers, although other entries are known. */
    private get isCutOff(): boolean {
        return (this.follower.answerAgeMs ?? 0) > STORE_SILENCE_MS && this.peers.isAlone;
    }

    /** Serves a link that another entry opened. */
    async servePeer(link: Link): Promise<void> {
        await servePeer(link, this.options.clock, this.options.stores, this.path, rows => {
            this.replica.apply(rows);
        });
    }

    /**
     * Makes rows known that were just written. Without it a job reaches the controller, and its end the requester,
     * only with the next answer to a poll, which comes a second later while the store drops its history.
     */
    announce(rows: readonly StoredRow[]): void {
        this.replica.apply(rows);
        this.peers.announce(rows);
    }

    /** Runs until `stop`. */
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

    /** Gives the role away if it is held, and takes it no more. */
    async release(): Promise<void> {
        this.released.abort();
        await this.taking;
        await this.controller?.release();
    }

    /** Ends all tasks. */
    stop(): void {
        this.stopped.abort();
    }

    private async runElection(signal: AbortSignal): Promise<void> {
        while (!signal.aborted && !this.released.signal.aborted) {
            this.taking = withAnySignal([signal, this.released.signal], electing => this.election.take(electing));
            const role = await this.taking;
            if (role === undefined) {
                return;
            }
            const { clock, logger, timings, connect, random, config, advice } = this.options;
            this.controller = new Controller({
                store: this.store,
                replica: this.replica,
                config,
                clock,
                logger,
                timings,
                connect,
                random,
                advice,
                storeOffsetMs: () => this.follower.storeOffsetMs,
                announce: rows => {
                    this.announce(rows);
                },
                isAlone: () => this.peers.isAlone,
            }, role);
            const end = await this.controller.run(signal);
            this.controller = undefined;
            if (end === "unreached") {
                await withAnySignal([signal, this.released.signal], over => clock.sleep(UNREACHED_PAUSE_MS, over));
            }
        }
    }
}
