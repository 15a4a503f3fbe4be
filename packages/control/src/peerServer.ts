import type { Clock } from "@persimmonpitch/clock/clock.js";
import { Connection } from "@persimmonpitch/protocol/connection.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import type { HandlerTable } from "@persimmonpitch/protocol/method.js";
import type { StoreMethods, StoreTable } from "@persimmonpitch/protocol/storeMessages.js";
import { storeMethods } from "@persimmonpitch/protocol/storeMessages.js";
import type { ChangedRow } from "@persimmonpitch/workload/storedRow.js";
import type { Result } from "true-myth";
import type { ConfigHolder } from "./configHolder.js";
import type { DirectPathHealth } from "./directPathHealth.js";
import type { EvacuationHolder } from "./evacuationHolder.js";
import type { RowStore } from "./rowStore.js";

/** Stores that this process calls directly, by table. */
export type DirectStores = Readonly<Record<StoreTable, RowStore>>;

type Answer<T, E> = { readonly kind: "ok"; readonly value: T; } | { readonly kind: "error"; readonly error: E; };

const toAnswer = <T extends object, E extends object>(result: Result<T, E>): Answer<T, E> =>
    result.isOk ? { kind: "ok", value: result.value } : { kind: "error", error: result.error };

/** Receives rows written by a peer. */
export type OnRowsChanged = (rows: readonly ChangedRow[]) => void;

/** What a peer is served from. */
export interface PeerServerOptions {
    readonly clock: Clock;
    readonly stores: DirectStores;
    readonly pathHealth: DirectPathHealth;
    readonly config: ConfigHolder;
    readonly evacuation: EvacuationHolder;
    readonly onRowsChanged: OnRowsChanged;
}

const handlersFor = (
    { stores, pathHealth, config, evacuation, onRowsChanged }: PeerServerOptions,
): HandlerTable<StoreMethods> => ({
    "store.ping": () =>
        Promise.resolve({
            storeAgeMs: pathHealth.answerAgeMs,
            configVersion: config.current?.version,
            evacuationVersion: evacuation.current?.version,
        }),
    "config.read": () => Promise.resolve({ config: config.current }),
    "evacuation.read": () => Promise.resolve({ state: evacuation.current }),
    "store.changed": ({ rows }) => {
        onRowsChanged(rows);
        return Promise.resolve({});
    },
    "store.commit": async ({ table, transaction }) => toAnswer(await stores[table].commit(transaction)),
    "store.scan": async ({ table, range }) => toAnswer(await stores[table].scan(range)),
    "store.follow": async ({ table, after, waitMs }) => toAnswer(await stores[table].follow(after, waitMs)),
});

/** Serves one peer until its link closes. */
export const servePeer = async (link: Link, options: PeerServerOptions): Promise<void> => {
    const connection = new Connection({
        link,
        clock: options.clock,
        local: storeMethods,
        remote: {},
        handlers: handlersFor(options),
    });
    await connection.run();
};
