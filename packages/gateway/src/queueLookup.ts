import type { ClusterConfig, Queue, Team } from "@persimmonpitch/workload/clusterConfig.js";

/** The queue whose host matches and whose path prefix is the longest that the path begins with. */
export const findQueue = (config: ClusterConfig, host: string, path: string): Queue | undefined =>
    config.queues
        .filter(queue => queue.host === host && path.startsWith(queue.pathPrefix))
        .reduce<Queue | undefined>(
            (best, queue) => best === undefined || queue.pathPrefix.length > best.pathPrefix.length ? queue : best,
            undefined,
        );

/** The team that a key belongs to. */
export const findTeam = (config: ClusterConfig, key: string | undefined): Team | undefined =>
    key === undefined ? undefined : config.teams.find(({ apiKeys }) => apiKeys.includes(key));
