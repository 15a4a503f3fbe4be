import { historyRowSchema } from "@persimmonpitch/history/historyRow.js";
import type { RunEvidence, ToldAnswer } from "@persimmonpitch/history/runEvidence.js";
import { directAnswerSchema } from "@persimmonpitch/schema/apiAnswers.js";
import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import { historyRecordSchema } from "@persimmonpitch/schema/historyRecord.js";
import type { JobRecord, Ran } from "@persimmonpitch/schema/job.js";
import { isTerminal, jobRecordSchema } from "@persimmonpitch/schema/job.js";
import { problemSchema } from "@persimmonpitch/schema/problem.js";
import type { HttpReply, InProcessDeployment } from "./inProcessDeployment.js";
import { SERVICE, TOKENS } from "./smallBody.js";

type TeamName = "alpha" | "beta";

interface JobShape {
    readonly key: string;
    readonly team: TeamName;
    readonly vms: number;
    readonly acceleratorsPerVm: number;
    readonly runMs: number;
    readonly idempotent: boolean;
    readonly checkpointable: boolean;
}

const job = (
    key: string,
    team: TeamName,
    gang: readonly [number, number],
    runMs: number,
    traits: string,
): JobShape => ({
    key,
    team,
    vms: gang[0],
    acceleratorsPerVm: gang[1],
    runMs,
    idempotent: traits.includes("i"),
    checkpointable: traits.includes("c"),
});

/** Gangs across VMs and single tasks, idempotent (i) and checkpointable (c) or not, of two teams. */
const JOBS: readonly JobShape[] = [
    job("gang-2x8", "alpha", [2, 8], 20_000, "c"),
    job("gang-3x4", "beta", [3, 4], 15_000, "i"),
    job("gang-2x2", "beta", [2, 2], 30_000, ""),
    job("single-4", "beta", [1, 4], 10_000, "ic"),
    job("single-2", "alpha", [1, 2], 25_000, "i"),
    job("single-1", "beta", [1, 1], 5_000, ""),
];

const REQUESTS_PER_ROUND = 3;

interface Submitted {
    readonly shape: JobShape;
    readonly reply: HttpReply;
}

/** Jobs and direct requests with what their callers were told. */
export class Workload {
    private readonly submitted: Submitted[] = [];
    private readonly told: ToldAnswer[] = [];
    private round = 0;

    constructor(private readonly deployment: InProcessDeployment) {}

    /** Submits all jobs through alternating entries. */
    async submitJobs(): Promise<void> {
        for (const [index, shape] of JOBS.entries()) {
            const entryId = this.entryFor(index);
            const reply = await this.deployment.call(entryId, "POST", "/v1/jobs", TOKENS[shape.team], {
                workClass: "batch",
                gang: { vms: shape.vms, acceleratorsPerVm: shape.acceleratorsPerVm, adjacency: "any" },
                declaredRunMs: shape.runMs,
                idempotent: shape.idempotent,
                checkpointable: shape.checkpointable,
                requestKey: shape.key,
                payload: JSON.stringify({ runMs: shape.runMs, result: shape.key }),
            });
            this.submitted.push({ shape, reply });
            if (reply.status !== 202) {
                this.told.push({
                    team: shape.team,
                    requestKey: shape.key,
                    ran: ranOf(reply),
                    idempotent: shape.idempotent,
                });
            }
        }
    }

    /** Sends a few direct requests, every other one non-idempotent. */
    async sendRequests(): Promise<void> {
        this.round += 1;
        for (let index = 0; index < REQUESTS_PER_ROUND; index += 1) {
            const requestKey = `request-${this.round}-${index}`;
            const idempotent = index % 2 === 0;
            const reply = await this.deployment.call(
                this.entryFor(index),
                "POST",
                `/v1/services/${SERVICE}/requests`,
                TOKENS.beta,
                {
                    workClass: "interactive",
                    idempotent,
                    requestKey,
                    timeoutMs: 10_000,
                    body: JSON.stringify({ workMs: 300, answer: `answer ${requestKey}` }),
                },
            );
            const answer = directAnswerSchema.safeParse(reply.body);
            this.told.push(
                answer.success
                    ? {
                        team: "beta",
                        requestKey,
                        idempotent,
                        ran: "yes",
                        answer: answer.data.body,
                        subjectId: answer.data.requestId,
                    }
                    : { team: "beta", requestKey, idempotent, ran: ranOf(reply) },
            );
        }
    }

    /** Asks for the cancellation of all jobs at once. */
    async cancelAll(): Promise<void> {
        for (const [index, { shape, reply }] of this.submitted.entries()) {
            const accepted = jobRecordSchema.safeParse(reply.body);
            if (accepted.success) {
                const path = `/v1/jobs/${accepted.data.jobId}/cancel`;
                await this.deployment.call(this.entryFor(index), "POST", path, TOKENS[shape.team]);
            }
        }
    }

    /** Waits until every accepted job has ended and every record is durable. */
    async finish(limitMs: number): Promise<void> {
        const { deployment } = this;
        await deployment.runUntil(
            () => this.jobs().every(({ state }) => isTerminal(state)) ? true : undefined,
            limitMs,
        );
        await deployment.clock.advance(10_000);
    }

    /** Where each job and request ended, for a snapshot; ids and times are left out. */
    summary(): readonly string[] {
        const jobs = new Map(this.jobs().map(record => [record.spec.requestKey, record]));
        const ofJobs = this.submitted.map(({ shape, reply }) => {
            const record = jobs.get(shape.key);
            return record === undefined
                ? `${shape.key} refused ${reply.status}`
                : `${shape.key} ${record.state} ran=${record.outcome?.ran ?? ""} attempts=${record.attempts}`;
        });
        const ofRequests = this.told
            .filter(({ requestKey }) => requestKey.startsWith("request"))
            .map(({ requestKey, ran, answer }) => `${requestKey} ran=${ran} ${answer ?? ""}`);
        return [...ofJobs, ...ofRequests];
    }

    /** All that is known about the run, for the invariant checker. */
    evidence(): RunEvidence {
        const jobs = this.jobs();
        const fromJobs = jobs.flatMap(({ jobId, spec, outcome }): ToldAnswer[] =>
            outcome === undefined
                ? []
                : [{
                    team: spec.team,
                    requestKey: spec.requestKey,
                    ran: outcome.ran,
                    subjectId: jobId,
                    idempotent: spec.idempotent,
                }]
        );
        return {
            history: this.history(),
            jobs,
            told: [...this.told, ...fromJobs],
            taskRuns: this.deployment.allWorkers.flatMap(({ runs }) => runs),
            requestRuns: this.deployment.allExecutors.flatMap(({ runs }) => runs),
        };
    }

    private history(): readonly HistoryRecord[] {
        const records = this.rows("history/")
            .flatMap(({ key, value }) => historyRowSchema.parse(value).records.map(record => ({ key, record })));
        // Records that an agent handed over may stand twice; an export returns them once.
        const seen = new Set<string>();
        return records
            .map(({ record }) => historyRecordSchema.parse(record))
            .filter(({ subjectId, sequence }) => {
                const isNew = !seen.has(`${subjectId}/${sequence}`);
                seen.add(`${subjectId}/${sequence}`);
                return isNew;
            });
    }

    private jobs(): readonly JobRecord[] {
        return this.rows("job/").map(({ value }) => jobRecordSchema.parse(value));
    }

    private rows(prefix: string) {
        return this.deployment.table.snapshot().filter(({ key }) => key.startsWith(prefix));
    }

    private entryFor(index: number): string {
        const live = this.deployment.liveEntries;
        return live[index % live.length] ?? "";
    }
}

const ranOf = ({ body }: HttpReply): Ran => {
    const problem = problemSchema.safeParse(body);
    return problem.success ? problem.data.ran : "unknown";
};
