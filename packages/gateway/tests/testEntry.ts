import type { FakeClock } from "@persimmonpitch/clock/fakeClock.js";
import { ConfigHolder } from "@persimmonpitch/control/configHolder.js";
import { Replica } from "@persimmonpitch/control/replica.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import type { MemoryRowStore } from "@persimmonpitch/standins/memoryRowStore.js";
import type { ClusterConfig } from "@persimmonpitch/workload/clusterConfig.js";
import { submissionSchema } from "@persimmonpitch/workload/stepJob.js";
import type { Result } from "true-myth/result";
import { Gateway } from "../src/gateway.js";
import type { AuthorizedRequest, GatewayError } from "../src/requests.js";

/** Host of all queues in the tests' configurations. */
export const TEST_HOST = "q.example";

const SUBMISSION = submissionSchema.parse({ payload: "p", steps: [{ count: 1, demand: {} }] });

/** Longer than a call that the store answers, or does not answer. */
const CALL_MS = 3_000;

/** Path of a job and key of a caller. */
export interface Caller {
    readonly path: string;
    readonly apiKey?: string | undefined;
}

/** One entry; entries do not hear of each other's rows, as if each row took long to reach the others. */
export class TestEntry {
    readonly replica = new Replica(silentLogger);
    private readonly config = new ConfigHolder(silentLogger);
    private readonly gateway: Gateway;

    constructor(private readonly clock: FakeClock, store: MemoryRowStore, cfg: ClusterConfig) {
        this.config.applyIfNewer(cfg);
        this.gateway = new Gateway({
            store: store.client("entry"),
            replica: this.replica,
            config: this.config,
            clock,
            logger: silentLogger,
            timeSinceStoreResponseMs: () => 0,
            isReady: () => true,
            storeClockOffsetMs: () => 0,
            publishRows: rows => {
                this.replica.apply(rows);
            },
        });
    }

    configure(cfg: ClusterConfig): void {
        this.config.applyIfNewer(cfg);
    }

    submit(caller: Caller): Promise<string> {
        return describe(this.gateway.submit(this.authorize(caller), SUBMISSION));
    }

    cancel(caller: Caller): Promise<string> {
        return describe(this.gateway.cancel(this.authorize(caller)));
    }

    /** Submits while the clock runs on. */
    submitNow(caller: Caller): Promise<string> {
        return this.runOn(this.submit(caller));
    }

    /** Cancels while the clock runs on. */
    cancelNow(caller: Caller): Promise<string> {
        return this.runOn(this.cancel(caller));
    }

    /** Reads the state of the job while the clock runs on. */
    readNow(caller: Caller): Promise<string> {
        return this.runOn(describe(this.gateway.readState(this.authorize(caller))));
    }

    private async runOn(answer: Promise<string>): Promise<string> {
        await this.clock.advance(CALL_MS);
        return answer;
    }

    private authorize({ path, apiKey }: Caller): AuthorizedRequest {
        const authorized = this.gateway.authorize({ host: TEST_HOST, path, apiKey });
        if (authorized.isErr) {
            throw new Error(`The request was not authorized: ${authorized.error}.`);
        }
        return authorized.value;
    }
}

/** The value of an answer, "ok" for one without a value, or the reason of a refusal. */
const describe = async (answer: Promise<Result<unknown, GatewayError>>): Promise<string> => {
    const result = await answer;
    if (result.isErr) {
        return result.error;
    }
    return typeof result.value === "string" ? result.value : "ok";
};
