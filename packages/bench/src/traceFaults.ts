import type { Random } from "./random.js";
import type { Deployment, TraceFault } from "./traceSchema.js";

const DAY_MS = 24 * 3_600_000;
/** Section 3 gives 13 VM failures a day for 930 workers; a small deployment gets at least one in each trace. */
const VM_FAILURES_PER_VM_DAY = 13 / 930;
const VM_REPAIR_MS = 10 * 60_000;
const RACK_LOST_AT = 0.7;
const RACK_REPAIR_MS = 20 * 60_000;
const WORKER_FAILS_AT = 0.35;
const WORKER_FAILS_SHARE = 0.1;
const VMS_PER_FAILING_WORKER = 300;
const STORE_DOWN_AT = 0.48;
const STORE_OUTAGE_SHARE = 0.08;

/** Faults of one trace, in no particular order. */
export const makeFaults = (random: Random, { vms }: Deployment, lengthMs: number): TraceFault[] => {
    const faults: TraceFault[] = [];
    const lose = (at: number, repairMs: number, vmIds: string[]) => {
        faults.push({ kind: "vmsLost", at, vmIds }, { kind: "vmsBack", at: at + repairMs, vmIds });
    };
    const failures = Math.max(1, Math.round(VM_FAILURES_PER_VM_DAY * vms.length * lengthMs / DAY_MS));
    for (let failure = 0; failure < failures; failure += 1) {
        lose(Math.round(random.uniform() * RACK_LOST_AT * lengthMs), VM_REPAIR_MS, [random.pick(vms).id]);
    }
    const { rack } = random.pick(vms);
    lose(RACK_LOST_AT * lengthMs, RACK_REPAIR_MS, vms.filter(vm => vm.rack === rack).map(({ id }) => id));
    const failing = Array.from({ length: Math.ceil(vms.length / VMS_PER_FAILING_WORKER) }, () => random.pick(vms).id);
    const failsAt = WORKER_FAILS_AT * lengthMs;
    faults.push(
        { kind: "workerFailing", at: failsAt, vmIds: failing },
        { kind: "workerRepaired", at: failsAt + WORKER_FAILS_SHARE * lengthMs, vmIds: failing },
        { kind: "storeDown", at: STORE_DOWN_AT * lengthMs },
        { kind: "storeUp", at: (STORE_DOWN_AT + STORE_OUTAGE_SHARE) * lengthMs },
    );
    return faults;
};
