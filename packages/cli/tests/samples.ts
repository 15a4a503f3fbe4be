import { parseInventory } from "@persimmonpitch/inventory/parseInventory.js";
import { createHash } from "node:crypto";

const digest = (digit: string) => digit.repeat(64);

export const inventoryText = `[[rack]]
id = "r1"
dataCentre = "north"
kind = "worker"
cores = 8
memoryMb = 1024
accelerators = 8
vms = ["w1", "w2"]

[[team]]
id = "weavers"
tokenSha256 = "${digest("1")}"

[[team.guarantee]]
name = "pair"
shape = { vms = 2, acceleratorsPerVm = 8, adjacency = "rack" }

[[operator]]
id = "lead"
tokenSha256 = "${digest("2")}"
`;

const { body } = parseInventory(inventoryText, "inventory.toml").unwrapOrElse(() => {
    throw new Error("the sample does not parse");
});

export const configuration = {
    version: 7,
    loadedAt: 1_700_000_000_000,
    loadedBy: "lead",
    body: { ...body, drained: ["w2"] },
};

export const jobText = `workClass = "batch"
declaredRunMs = 3600000
idempotent = false
requestKey = "festival-12"

[gang]
vms = 2
acceleratorsPerVm = 8
adjacency = "rack"
`;

export const jobRecord = {
    jobId: "job-1",
    spec: {
        team: "weavers",
        workClass: "batch",
        gang: { vms: 2, acceleratorsPerVm: 8, adjacency: "rack", coresPerVm: 0, memoryMbPerVm: 0 },
        declaredRunMs: 3_600_000,
        idempotent: false,
        checkpointable: false,
        requestKey: "festival-12",
        payload: "",
    },
    state: "queued",
    submittedAt: 1_700_000_000_000,
    attempts: 0,
    cancelRequested: false,
    failedOn: [],
};

export const finishedJob = {
    ...jobRecord,
    state: "finished",
    attempts: 1,
    attempt: {
        attemptId: "job-1.1",
        epoch: 3,
        claimedAt: 1_700_000_001_000,
        members: [{ vmId: "w1", accelerators: 8 }, { vmId: "w2", accelerators: 8 }],
    },
    outcome: { ran: "yes", code: "finished", detail: "", result: "cut", at: 1_700_000_009_000 },
};

export const failedJob = {
    ...finishedJob,
    state: "failed",
    outcome: { ran: "unknown", code: "vmLost", detail: "A member was lost.", at: 1_700_000_009_000 },
};

export const requestText = `workClass = "interactive"
idempotent = true
timeoutMs = 2000
`;

export const directAnswer = {
    requestId: "request-1",
    requestKey: "counter-5",
    body: "glaze: célèste",
    length: Buffer.byteLength("glaze: célèste"),
    sha256: createHash("sha256").update("glaze: célèste").digest("hex"),
};

export const statusAnswer = {
    region: "valley",
    role: { holder: "entry-1", epoch: 4 },
    configVersion: 7,
    vms: [
        { vmId: "w1", condition: "ready", accelerators: 8, freeAccelerators: 0, leaving: false },
        { vmId: "w2", condition: "draining", accelerators: 8, freeAccelerators: 8, leaving: true },
    ],
    teams: [{ team: "weavers", running: 1, queued: 2, acceleratorsInUse: 8 }],
    jobs: [{ jobId: "job-2", team: "weavers", state: "queued", reason: "noCapacity", detail: "No VM is free." }],
    unmetGuarantees: [{ team: "weavers", name: "pair", instance: 0 }],
};

export const burnAnswer = {
    coveredMs: 7_200_000,
    classes: [{
        objective: { workClass: "interactive", goodShare: 0.995, withinMs: 2_000, budgetDays: 30 },
        good: 1_996,
        bad: 4,
        budgetSpent: 0.4,
        windows: [
            { window: "5m", good: 79, bad: 1, burnRate: 2.5 },
            { window: "6h", good: 1_996, bad: 4, burnRate: 0.4 },
        ],
        alert: "none",
        latencyMs: { count: 1_996, p50: 120, p95: 480, p99: 910, max: 1_700 },
    }],
};

export const problem = (status: number, code: string, ran: string, more = {}) => ({
    status,
    body: { type: "about:blank", title: "Refused", status, detail: "The detail.", code, ran, ...more },
});
