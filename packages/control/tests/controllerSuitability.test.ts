import type { Millis } from "@persimmonpitch/clock/clock.js";
import t from "tap";
import { Deployment } from "./deploymentFixture.js";

const SETTLED_MS: Millis = 3_000;
const TAKEOVER_MS: Millis = 3_500;
/** Longer than a better peer has to be in reach before a controller hands the role over. */
const HANDOVER_MS: Millis = 20_000;

interface SuitabilityCase {
    readonly guardsAgainst: string;
    readonly cores: Readonly<Record<string, number>>;
    readonly fault: (deployment: Deployment, controller: string) => void;
    readonly controller: string;
}

const killController = (deployment: Deployment, controller: string): void => {
    deployment.killNode(controller);
};

const CASES: readonly SuitabilityCase[] = [
    {
        guardsAgainst: "a takeover by a small VM while a larger one is in reach",
        cores: { n1: 2, n2: 0.3, n3: 1.35 },
        fault: killController,
        controller: "n3",
    },
    {
        guardsAgainst: "a role that stays vacant because the larger VM cannot reach the store",
        cores: { n1: 2, n2: 0.3, n3: 1.35 },
        fault: (deployment, controller) => {
            deployment.store.setFaults({ refused: ["n3"] });
            deployment.partitioned.add("n3");
            deployment.killNode(controller);
        },
        controller: "n2",
    },
    {
        guardsAgainst: "a role that stays on a small VM after a larger one has started",
        cores: { n1: 0.3, n2: 0.3, n4: 1.35 },
        fault: deployment => {
            deployment.startNode("n4");
        },
        controller: "n4",
    },
    {
        guardsAgainst: "a role that moves between VMs of nearly the same size",
        cores: { n1: 0.7, n2: 0.3, n4: 1.35 },
        fault: deployment => {
            deployment.startNode("n4");
        },
        controller: "n1",
    },
    {
        guardsAgainst: "a hand-over while the store refuses the larger VM",
        cores: { n1: 0.3, n2: 0.3, n4: 1.35 },
        fault: deployment => {
            deployment.store.setFaults({ refused: ["n4"] });
            deployment.startNode("n4");
        },
        controller: "n1",
    },
];

for (const { guardsAgainst, cores, fault, controller } of CASES) {
    void t.test(`the choice of the controller guards against ${guardsAgainst}`, async t => {
        const nodes = Object.keys(cores).filter(name => name !== "n4");
        const deployment = new Deployment(nodes.slice(0, 1), ["e1"], { cores });
        await deployment.advance(SETTLED_MS);
        nodes.slice(1).forEach(name => deployment.startNode(name));
        await deployment.advance(SETTLED_MS);
        t.equal(deployment.controller, "n1", "before the fault");
        fault(deployment, "n1");
        await deployment.advance(fault === killController ? TAKEOVER_MS : HANDOVER_MS);
        t.equal(deployment.controller, controller, "after the fault");
        const epoch = deployment.epoch;
        await deployment.advance(HANDOVER_MS);
        t.equal(deployment.controller, controller, "later");
        t.equal(deployment.epoch, epoch, "without further elections");
    });
}
