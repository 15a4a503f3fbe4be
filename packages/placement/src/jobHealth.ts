/** Different healthy workers on which a job must fail before it is refused. */
const MIN_FAILED_WORKERS = 3;

/** Whether a job failed on so many healthy workers that the failures are attributed to the job. */
export const failsEverywhere = (failedOn: readonly string[], isHealthy: (vmId: string) => boolean): boolean =>
    new Set(failedOn.filter(isHealthy)).size >= MIN_FAILED_WORKERS;
