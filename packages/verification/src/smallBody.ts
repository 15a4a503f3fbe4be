import type { ConfigurationBody, InventoryVm } from "@persimmonpitch/schema/configuration.js";
import { configurationBodySchema } from "@persimmonpitch/schema/configuration.js";
import { createHash } from "node:crypto";

/** Tokens of the teams and the operator of the small configuration. */
export const TOKENS = { alpha: "token-alpha", beta: "token-beta", operator: "token-operator" } as const;

export const SERVICE = "sorting";

const digest = (token: string): string => createHash("sha256").update(token).digest("hex");

const worker = (index: number): InventoryVm => ({
    id: `worker-${index}`,
    rack: `rack-${Math.ceil(index / 3)}`,
    dataCentre: index <= 3 ? "east" : "west",
    kind: "worker",
    cores: 32,
    memoryMb: 65_536,
    accelerators: 8,
});

const executor = (index: number): InventoryVm => ({
    id: `executor-${index}`,
    rack: `rack-${index}`,
    dataCentre: index === 1 ? "east" : "west",
    kind: "executor",
    service: SERVICE,
    cores: 8,
    memoryMb: 16_384,
    accelerators: 0,
});

/** Six workers in two racks, two executors and two teams, one of which holds a guarantee. */
export const createSmallBody = (): ConfigurationBody =>
    configurationBodySchema.parse({
        vms: [...[1, 2, 3, 4, 5, 6].map(worker), ...[1, 2].map(executor)],
        teams: [{ id: "alpha", tokenSha256: digest(TOKENS.alpha) }, { id: "beta", tokenSha256: digest(TOKENS.beta) }],
        operators: [{ id: "operator", tokenSha256: digest(TOKENS.operator) }],
        guarantees: [{ team: "alpha", name: "gang", shape: { vms: 2, acceleratorsPerVm: 8, adjacency: "rack" } }],
    });
