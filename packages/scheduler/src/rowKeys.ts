/** Keys of the scheduler's rows in the table. */
export const rowKeys = {
    job: (jobId: string): string => `job/${jobId}`,
    /** Index of jobs that have not ended, so that a new role holder need not scan ended jobs. */
    activeJob: (region: string, jobId: string): string => `active/${region}/${jobId}`,
    activeJobPrefix: (region: string): string => `active/${region}/`,
    /** Maps a caller's request key to its job or direct request. */
    requestKey: (team: string, key: string): string => `key/${team}/${key}`,
    /** Index of a team's jobs in order of submission. */
    teamJob: (team: string, jobId: string): string => `team/${team}/${jobId}`,
    teamJobPrefix: (team: string): string => `team/${team}/`,
    role: (region: string): string => `role/${region}`,
    /** Changes only when another holder acquires the role, so that a holder's writes can be conditional on it. */
    epoch: (region: string): string => `epoch/${region}`,
    configCurrent: "config/current",
    configVersion: (version: number): string => `config/version/${version.toString().padStart(8, "0")}`,
    configVersionPrefix: "config/version/",
} as const;
