import { placementPass } from "@persimmonpitch/placement/placementPass.js";
import { buildClusterView } from "@persimmonpitch/scheduler/buildClusterView.js";
import { FencedAgents } from "@persimmonpitch/scheduler/fencedAgents.js";
import { collectGarbage } from "../collectGarbage.js";
import { createHolderState } from "../holderState.js";
import type { Measurement } from "../measurement.js";
import { eachSize } from "../measurement.js";

const WARM_UP_TURNS = 20;
const TURNS = 100;
const BYTES_PER_KB = 1_024;
const MICROSECONDS_PER_MS = 1_000;

/** One scheduling turn of the holder, and what its jobs and agents keep in memory. */
export const schedulingTurn: Measurement = {
    description: "one turn of the holder in memory: fencing, view and placement pass, at 4.84 tasks a worker, "
        + "with one waiting job for each 9 workers",
    sizeUnit: "worker",
    sizes: [232, 465, 930],
    quickSizes: [10, 20, 40],
    runsAlone: true,
    run: eachSize(async size => {
        const before = collectGarbage();
        const state = createHolderState(size);
        const kept = collectGarbage() - before;
        const { context, configuration, jobs, tasks } = state;
        const fenced = new FencedAgents(context);
        fenced.fenceNewAgents();
        await new Promise(resolve => setImmediate(resolve));
        let bindings = placementPass(buildClusterView(context, configuration, fenced, [])).bindings;
        const turn = () => {
            fenced.fenceNewAgents();
            fenced.stopOrphanedTasks();
            const decisions = placementPass(buildClusterView(context, configuration, fenced, bindings));
            bindings = decisions.bindings;
            return decisions.waiting.length;
        };
        for (let index = 0; index < WARM_UP_TURNS; index += 1) {
            turn();
        }
        const cpu = process.cpuUsage();
        let waiting = 0;
        for (let index = 0; index < TURNS; index += 1) {
            waiting = turn();
        }
        const { user, system } = process.cpuUsage(cpu);
        return {
            "turn cpu ms": (user + system) / TURNS / MICROSECONDS_PER_MS,
            "state KB": kept / BYTES_PER_KB,
            "state KB per job": kept / BYTES_PER_KB / jobs,
            jobs,
            tasks,
            "waiting jobs": waiting,
        };
    }),
};
