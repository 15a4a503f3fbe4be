import type { Bounds, ModelState } from "./modelState.js";
import { CONTACT_TICKS, initialState, LEASE_TICKS } from "./modelState.js";
import type { ScopeOf } from "./protocolSpecification.js";
import { changeAgent, changeHolder, changeJob } from "./rule.js";
import type { RuleName } from "./specification.js";

/** One part of the core protocol. */
export type Scope = ScopeOf<Bounds, RuleName>;

const GANG = { members: 2, idempotent: false } as const;
const IDEMPOTENT_GANG = { members: 2, idempotent: true } as const;
const SINGLE = { members: 1, idempotent: false } as const;
const CONFIG_RULES = ["loadConfig", "pushConfig"] as const;
const SIZES = { holders: 1, agents: 2, accelerators: 1, maxEpoch: 1, maxTries: 2, maxConfig: 1, faults: 2 } as const;

const SMALL = {
    role: {
        description: "role, epochs, fencing and claims of two holders",
        bounds: { ...SIZES, holders: 2, agents: 1, jobs: [SINGLE], maxEpoch: 2, faults: 1 },
        without: [...CONFIG_RULES, "tick", "outage", "cancel"],
        isReady: true,
    },
    gang: {
        description: "reservation, start, stop, cancellation and lost VMs under one gang",
        bounds: { ...SIZES, jobs: [GANG] },
        without: [...CONFIG_RULES, "tick", "outage", "crashHolder", "releaseRole", "stopUnknown"],
        isReady: true,
    },
    lease: {
        description: "lapse of leases and reservations under one gang",
        bounds: { ...SIZES, jobs: [GANG], maxTries: 1, faults: 1 },
        without: [...CONFIG_RULES, "outage", "claimAnswerLost", "repeat", "releaseRole", "cancel"],
        isReady: true,
    },
    contention: {
        description: "two gangs that want the same accelerators",
        bounds: { ...SIZES, jobs: [GANG, IDEMPOTENT_GANG], maxTries: 1, faults: 0 },
        without: [...CONFIG_RULES, "tick", "cancel", "releaseRole", "report"],
        isReady: true,
    },
    outage: {
        description: "store outage, lost answers and a second holder",
        bounds: {
            ...SIZES,
            holders: 2,
            agents: 1,
            jobs: [{ members: 1, idempotent: true }],
            maxEpoch: 2,
        },
        without: [...CONFIG_RULES, "tick", "repeat", "replaceVm"],
        isReady: true,
    },
    configuration: {
        description: "acceptance of jobs, loads and pushes of configurations, lost VMs",
        bounds: { ...SIZES, holders: 1, jobs: [SINGLE], maxConfig: 3, maxTries: 0 },
        without: ["tick", "fence", "report"],
        isReady: false,
    },
} as const satisfies Readonly<Record<string, Scope>>;
export type ScopeName = keyof typeof SMALL;

/** Larger scopes, which are explored on request. */
export const LARGE_SCOPES: Readonly<Record<string, Scope>> = {
    whole: {
        description: "everything together, from an empty store",
        bounds: {
            holders: 2,
            agents: 3,
            accelerators: 2,
            jobs: [GANG, { members: 3, idempotent: true }, SINGLE],
            maxEpoch: 3,
            maxTries: 2,
            maxConfig: 2,
            faults: 3,
        },
        without: [],
        isReady: false,
    },
    takeover: {
        description: "a second holder takes over while a gang of three runs",
        bounds: { ...SIZES, holders: 2, agents: 3, jobs: [{ members: 3, idempotent: false }], maxEpoch: 2 },
        without: [...CONFIG_RULES, "releaseRole"],
        isReady: true,
    },
};

export const SCOPES: Readonly<Record<ScopeName, Scope>> = SMALL;

/** Holder 0 has the role, all agents are fenced and hold a lease, and all jobs wait. */
const makeReady = (state: ModelState): ModelState => {
    const { jobs, agents } = state;
    const accepted = jobs.reduce(
        (next, _, job) => changeJob(next, job, { status: "queued", version: 1, accepted: true }),
        state,
    );
    const fenced = agents.reduce(
        (next, _, agent) => changeAgent(next, agent, { epoch: 1, lease: LEASE_TICKS }),
        accepted,
    );
    return changeHolder({ ...fenced, store: { ...state.store, epoch: 1, holder: 0 } }, 0, {
        epoch: 1,
        fenced: agents.map(({ instance }) => instance),
        contact: agents.map(() => CONTACT_TICKS),
    });
};

export const startOf = ({ bounds, isReady }: Scope): ModelState =>
    isReady ? makeReady(initialState(bounds)) : initialState(bounds);
