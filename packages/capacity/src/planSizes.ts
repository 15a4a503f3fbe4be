/** The size to design for, section 3 of the design page. */
export const PLAN = {
    workers: 930,
    dataCentres: 5,
    teams: 350,
    runningTasks: 4_500,
    jobsPerDay: 540,
    configChangesPerDay: 310,
    replacementsPerDay: 340,
    failuresPerDay: 13,
} as const;

/** Sizes of the Cooperative and of Lentesud today: 11 workers and 11 executors. */
export const TODAY = { workers: 11, executors: 11, dataCentres: 4, teams: 4 } as const;

/** What control may use on each node. */
export const BUDGET = { corePercent: 1.5, residentMb: 256, bytesPerSecond: 14_000 } as const;

/** Section 5 says "a few thin entry VMs"; one in each data centre is assumed, so an entry serves 186 agents. */
export const AGENTS_PER_ENTRY = PLAN.workers / PLAN.dataCentres;
