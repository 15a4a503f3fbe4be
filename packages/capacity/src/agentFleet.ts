import { Agent } from "@persimmonpitch/agent/agent.js";
import type { EntryAddress } from "@persimmonpitch/agent/agentSettings.js";
import { systemClock } from "@persimmonpitch/clock/systemClock.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import { deriveProcessKey } from "@persimmonpitch/protocol/processKey.js";
import { connectTls } from "@persimmonpitch/protocol/tlsTransport.js";
import type { InventoryVm } from "@persimmonpitch/schema/configuration.js";
import { MemoryExecutor } from "@persimmonpitch/standins/memoryExecutor.js";
import { MemoryWorker } from "@persimmonpitch/standins/memoryWorker.js";
import { observeLink } from "./observedLink.js";

/** What happened on an agent's side of its connections. */
export interface FleetEvent {
    readonly kind: "attempted" | "connected" | "called";
    readonly at: number;
    /** The method of a call from an entry, or the entry that a connection goes to. */
    readonly name: string;
}

/** Real agents with real TLS connections and in-memory workers, in this process. */
export class AgentFleet {
    readonly events: FleetEvent[] = [];
    private readonly agents: Agent[] = [];
    private readonly runs: Promise<void>[] = [];

    constructor(private readonly deploymentKey: Buffer, private readonly entries: readonly EntryAddress[]) {}

    /** Starts the agents of these VMs at once. */
    start(vms: readonly InventoryVm[]): void {
        vms.forEach(vm => {
            this.startAgent(vm);
        });
    }

    /** Number of events of a kind and name since a time. */
    count(kind: FleetEvent["kind"], name: string | undefined, since = 0): number {
        return this.times(kind, name, since).length;
    }

    /** Times of the events of a kind and name since a time. */
    times(kind: FleetEvent["kind"], name: string | undefined, since = 0): readonly number[] {
        return this.events
            .filter(event => event.kind === kind && event.at >= since && (name ?? event.name) === event.name)
            .map(({ at }) => at);
    }

    async kill(): Promise<void> {
        this.agents.forEach(agent => {
            agent.kill();
        });
        await Promise.all(this.runs);
    }

    private startAgent(vm: InventoryVm): void {
        const { id: vmId, rack, dataCentre, kind, service, accelerators, cores, memoryMb } = vm;
        const key = deriveProcessKey(this.deploymentKey, vmId);
        const agent = new Agent({
            settings: {
                vmId,
                rack,
                dataCentre,
                kind,
                service,
                accelerators,
                cores,
                memoryMb,
                entries: [...this.entries],
            },
            clock: systemClock,
            logger: silentLogger,
            worker: new MemoryWorker(systemClock, { vmId, accelerators }),
            executor: new MemoryExecutor(systemClock, vmId),
            openLink: async address => {
                this.note("attempted", address.id);
                const opened = await connectTls(address, vmId, key);
                return opened.map(link => {
                    this.note("connected", address.id);
                    return observeLink(link, method => {
                        this.note("called", method);
                    });
                });
            },
        });
        this.agents.push(agent);
        this.runs.push(agent.run());
    }

    private note(kind: FleetEvent["kind"], name: string): void {
        this.events.push({ kind, name, at: performance.now() });
    }
}

/** Runs with a fleet of agents and ends them afterwards. */
export const withFleet = async <T>(fleet: AgentFleet, use: (fleet: AgentFleet) => Promise<T>): Promise<T> => {
    try {
        return await use(fleet);
    }
    finally {
        await fleet.kill();
    }
};
