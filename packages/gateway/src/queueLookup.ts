import type { ClusterConfig, Queue, Team } from "@persimmonpitch/workload/clusterConfig.js";

/** Finds the queue for a host and path. Where several path prefixes match, the longest one wins. */
export const findQueue = (config: ClusterConfig, host: string, path: string): Queue | undefined =>
    config.queues
        .filter(queue => queue.host === host && path.startsWith(queue.pathPrefix))
        .reduce<Queue | undefined>(
            (longestMatch, queue) =>
                longestMatch === undefined || queue.pathPrefix.length > longestMatch.pathPrefix.length
                    ? queue
                    : longestMatch,
            undefined,
        );

/** Finds the team that an API key is registered for. */
export const findTeamByApiKey = (config: ClusterConfig, apiKey: string | undefined): Team | undefined =>
    apiKey === undefined ? undefined : config.teams.find(({ apiKeys }) => apiKeys.includes(apiKey));
