import { formatFindings } from "@persimmonpitch/findings/finding.js";
import { configurationBodySchema } from "@persimmonpitch/schema/configuration.js";
import fc from "fast-check";
import { readFileSync } from "node:fs";
import t from "tap";
import { checkInventory } from "../src/checkInventory.js";
import { parseInventory } from "../src/parseInventory.js";
import { firstFit } from "./firstFit.js";

const SEED = 20_261_204;
const RUNS = 10_000;

const examples = ["cooperative", "lentesud"].map(name => readFileSync(`docs/examples/${name}.toml`, "utf8"));

const digest = (digit: string) => digit.repeat(64);
const rack = (id: string, dataCentre: string, vms: string, more = "accelerators = 8") =>
    `[[rack]]\nid = "${id}"\ndataCentre = "${dataCentre}"\nkind = "worker"\ncores = 8\nmemoryMb = 1024\n${more}\nvms = ${vms}\n`;
const team = (id: string, digit: string, more = "") =>
    `[[team]]\nid = "${id}"\ntokenSha256 = "${digest(digit)}"\n${more}\n`;
const guarantee = (name: string, shape: string, more = "") =>
    `[[team.guarantee]]\nname = "${name}"\nshape = { ${shape} }\n${more}\n`;
const operator = `[[operator]]\nid = "lead"\ntokenSha256 = "${digest("0")}"\n`;
const twoRacks = rack("r1", "north", "[\"a\", \"b\"]") + rack("r2", "south", "[\"c\"]");
const pair = "vms = 2, acceleratorsPerVm = 8, adjacency = \"rack\"";

const texts: Readonly<Record<string, string>> = {
    valid: twoRacks + team("t1", "1", guarantee("pair", pair)) + operator,
    "key of the whole behind a table": rack("r1", "north", "[\"a\"]") + operator + "drained = []\n",
    "duplicate entries": `drained = ["a", "a"]\n` + rack("r1", "north", "[\"a\",\n  \"a\"]")
        + team(
            "t1",
            "1",
            guarantee("g", "vms = 1, acceleratorsPerVm = 1") + guarantee("g", "vms = 1, acceleratorsPerVm = 1"),
        )
        + team("t1", "1") + operator,
    "unknown references": `drained = ["z"]\n` + twoRacks
        + team("t1", "1", guarantee("g", "vms = 1, acceleratorsPerVm = 1", "dataCentres = [\"east\", \"north\"]"))
        + operator,
    "rack in two data centres": rack("r1", "north", "[\"a\"]") + rack("r1", "south", "[\"b\"]") + operator,
    "no operator": twoRacks,
    "kinds and services": rack("r1", "north", "[\"a\"]", "accelerators = 0\nservice = \"desk\"")
        + rack("r1", "north", "[\"b\"]").replace("worker", "executor") + operator,
    "VM without accelerators that a guarantee needs": rack("r1", "north", "[\"a\"]")
        + rack("r1", "north", "[\"b\"]", "accelerators = 0")
        + team("t1", "1", guarantee("pair", pair)) + operator,
    "shape without room": twoRacks
        + team(
            "t1",
            "1",
            guarantee("cores", "vms = 1, acceleratorsPerVm = 1, coresPerVm = 9")
                + guarantee("rack", "vms = 3, acceleratorsPerVm = 1, adjacency = \"rack\"")
                + guarantee("vm", "vms = 2, acceleratorsPerVm = 1, adjacency = \"vm\""),
        ) + operator,
    "more than there is in total": twoRacks
        + team("t1", "1", guarantee("g", "vms = 1, acceleratorsPerVm = 8", "count = 4"))
        + operator,
    "more than a data centre has": twoRacks
        + team("t1", "1", guarantee("g", "vms = 1, acceleratorsPerVm = 8", "count = 2\ndataCentres = [\"south\"]"))
        + operator,
    "does not fit beside the others": twoRacks
        + team(
            "t1",
            "1",
            guarantee("half", "vms = 2, acceleratorsPerVm = 4, adjacency = \"rack\"") + guarantee("pair", pair),
        )
        + operator,
    "drain that breaks a guarantee": "drained = [\"b\"]\n" + twoRacks + team("t1", "1", guarantee("pair", pair))
        + operator,
    "quota below the guarantees": twoRacks + team("t1", "1", "quotaAccelerators = 15\n" + guarantee("pair", pair))
        + operator,
    "weights of 0": twoRacks + operator + "[rules]\ncompletionWeight = 0\nfragmentationWeight = 0\n",
    "schema findings": rack("r 1", "north", "[]", "accelerators = -1\ncolour = 3") + team("", "x") + operator,
    "count without sense": twoRacks
        + team("t1", "1", guarantee("g", "vms = 1, acceleratorsPerVm = 0", "count = 1000000000")),
};

const parse = (text: string) =>
    parseInventory(text, "inventory.toml").unwrapOrElse(findings => {
        throw new Error(formatFindings(findings));
    });

const check = (text: string) =>
    parseInventory(text, "inventory.toml").match({
        Ok: ({ body, places }) => checkInventory(body, firstFit, places),
        Err: findings => findings,
    });

// Guards against a wrong inventory that is accepted, and against findings without their file and line.
void t.test("findings of inventories", t => {
    for (const [name, text] of Object.entries(texts)) {
        t.matchSnapshot(formatFindings(check(text)), name);
    }
    t.end();
});

// Guards against findings without a place when the body came over HTTP.
void t.test("a body without a file is reported by key path", t => {
    const body = configurationBodySchema.parse({
        vms: [],
        teams: [],
        operators: [],
        guarantees: [{ team: "t1", name: "g", shape: { vms: 1, acceleratorsPerVm: 1 } }],
        drained: ["z"],
    });
    t.matchSnapshot(formatFindings(checkInventory(body, firstFit)));
    t.end();
});

// Guards against examples that operators could not load, or that lose the sizes of the design page.
void t.test("the examples have no findings and the sizes of the design", t => {
    for (const text of examples) {
        t.same(check(text), []);
        const { body } = parse(text);
        const count = (kind: string) => body.vms.filter(vm => vm.kind === kind).length;
        const dataCentres = new Set(body.vms.map(({ dataCentre }) => dataCentre));
        t.same([count("worker"), count("executor"), dataCentres.size, body.teams.length], [11, 11, 4, 4]);
    }
    t.end();
});

// Guards against a drain in force that blocks every later load, and against a second drain that hides behind it.
void t.test("drains in force are not held against other changes", t => {
    const guarantees = guarantee("pair", pair) + guarantee("one", "vms = 1, acceleratorsPerVm = 8");
    const drainedBoth = parse(`drained = ["b", "c"]\n` + twoRacks + team("t1", "1", guarantees) + operator);
    for (const inForce of [[], ["b"], ["c"]]) {
        const findings = checkInventory(drainedBoth.body, firstFit, drainedBoth.places, inForce);
        t.matchSnapshot(formatFindings(findings), `in force: ${inForce.join(", ")}`);
    }
    t.end();
});

const damages: readonly ((line: string) => string)[] = [
    () => "",
    line => `${line}\n${line}`,
    line => line.replace(/\d+/, "-7"),
    line => line.replace(/\d+/, "nan"),
    line => line.replace(/\d+/, "1e300"),
    line => line.replace(/\d+/, "0"),
    line => line.replace(/"[^"]*"/, "\"\""),
    line => line.replace(/"[^"]*"/, "\"worker-01\""),
    line => line.replace(/"[^"]*"/, "{ x = [1, 2] }"),
    line => line.replace("=", "= ="),
    line => line.replace("[", ""),
    line => line.slice(0, line.length / 2),
    line => `${line}\u0000`,
];
const damagedText = fc.tuple(
    fc.constantFrom(...examples),
    fc.array(fc.tuple(fc.nat(), fc.constantFrom(...damages)), { minLength: 1, maxLength: 3 }),
).map(([text, changes]) => {
    const lines = text.split("\n");
    for (const [position, damage] of changes) {
        const index = position % lines.length;
        lines[index] = damage(lines[index] ?? "");
    }
    return lines.join("\n");
});

const isUnique = (ids: readonly string[]) => new Set(ids).size === ids.length;

/** What must hold of an accepted inventory, written without the code under test. */
const makesSense = (text: string): boolean => {
    const { body } = parse(text);
    const workers = body.vms.filter(({ kind }) => kind === "worker");
    const promised = body.guarantees.map(({ shape, count }) => shape.vms * shape.acceleratorsPerVm * count);
    const present = workers.map(({ accelerators }) => accelerators);
    const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
    return configurationBodySchema.safeParse(body).success
        && isUnique(body.vms.map(({ id }) => id))
        && isUnique([...body.teams, ...body.operators].map(({ tokenSha256 }) => tokenSha256))
        && body.vms.every(vm => body.vms.every(other => vm.rack !== other.rack || vm.dataCentre === other.dataCentre))
        && sum(promised) <= sum(present)
        && firstFit(body.vms, body.guarantees).length === 0;
};

// Guards against crashes and against damaged files that are accepted although they make no sense.
void t.test("damaged inventories are refused or make sense", t => {
    let accepted = 0;
    fc.assert(
        fc.property(damagedText, text => {
            if (check(text).length > 0) {
                return true;
            }
            accepted += 1;
            return makesSense(text);
        }),
        { numRuns: RUNS, seed: SEED },
    );
    t.ok(accepted > 0 && accepted < RUNS, "the inputs contain valid and invalid texts");
    t.end();
});
