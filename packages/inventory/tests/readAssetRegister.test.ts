import { formatFindings } from "@persimmonpitch/findings/finding.js";
import fc from "fast-check";
import t from "tap";
import { parseInventory } from "../src/parseInventory.js";
import { readAssetRegister } from "../src/readAssetRegister.js";

const SEED = 20_261_204;
const RUNS = 10_000;

const header = "id,rack,dataCentre,kind,service,cores,memoryMb,accelerators\n";

const texts: Readonly<Record<string, string>> = {
    "valid, other headings and columns":
        "\uFEFFID;x,Asset owner,Data Centre,rack,kind,SERVICE,Cores,memory_mb,accelerators,id\r\n"
        + "1,\"Weavers, \"\"north\"\"\nhall\",north,r1,worker,,128,524288,8,w1\r\n\r\n2,,north,r1,executor,desk,8,1024.5,0,e1\r\n",
    "findings on several lines":
        `${header}w1,r1,north,worker,,0x10,1024,8\n\nw 2,r1,north,robot,,8,,-1\nw3,r1\nw4,r1,north,worker,,8,1,1.5\n`,
    "missing and repeated columns": "id,rack,id,kind,cores,memoryMb\nw1,r1,w1,worker,8,1\n",
    "open quote": `${header}w1,"r1,north,worker,,8,1024,8\n`,
    "text after a quote": `${header}w1,"r1"x,north,worker,,8,1024,8\n`,
    empty: "\n\n",
};

// Guards against rows that are skipped without a word, and against wrong line numbers.
void t.test("registers give VMs or findings with their lines", t => {
    for (const [name, text] of Object.entries(texts)) {
        t.matchSnapshot(
            readAssetRegister(text, "assets.csv").mapOrElse<unknown>(formatFindings, register => register),
            name,
        );
    }
    t.end();
});

// Guards against a register whose VMs do not reach the configuration.
void t.test("the VMs of a register are added to those of the file", t => {
    const register = readAssetRegister(`${header}w1,r1,north,worker,,8,1024,8\n`, "assets.csv");
    const parsed = register.andThen(vms => parseInventory("drained = [\"w1\"]", "inventory.toml", vms));
    t.matchSnapshot(parsed.mapOrElse<unknown>(formatFindings, inventory => inventory));
    t.end();
});

const field = fc.constantFrom(
    "w1",
    "r1",
    "north",
    "worker",
    "8",
    "-1",
    "",
    "\"",
    "\"\"",
    "\"a,b\"",
    "1e9",
    "NaN",
    ",",
    ",",
    "\n",
    "\r\n",
    "\r",
    header,
);
const malformed = fc.tuple(fc.constantFrom("", header), fc.array(field, { maxLength: 20 }))
    .map(([first, parts]) => first + parts.join(""));

// Guards against crashes and endless loops in the reading of CSV.
void t.test("malformed registers give findings or VMs that satisfy the schema", t => {
    let accepted = 0;
    fc.assert(
        fc.property(malformed, text =>
            readAssetRegister(text, "assets.csv").match({
                Ok: ({ vms, places }) => {
                    accepted += 1;
                    return vms.length === places.length && vms.every(({ cores }) => cores === 8);
                },
                Err: findings => findings.length > 0,
            })),
        { numRuns: RUNS, seed: SEED },
    );
    t.ok(accepted > 0 && accepted < RUNS, "the inputs contain valid and invalid texts");
    t.end();
});
