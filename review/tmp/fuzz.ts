// ad-hoc: raw fuzz runner + callers against a real gateway process
import { createServer, connect, type Socket } from "node:net";
import { readFileSync } from "node:fs";
import { record, sleep } from "../lib/case.js";
import { endPrograms } from "../lib/programs.js";
import { awaitSettled, startSystem, standardConfiguration } from "../lib/system.js";

const seed0 = Number(process.env.SEED ?? 1);
let s = seed0 * 2654435761 >>> 0;
const rnd = () => { s ^= s << 13; s >>>= 0; s ^= s >>> 17; s ^= s << 5; s >>>= 0; return s / 2 ** 32; };
const pick = <T>(a: readonly T[]): T => a[Math.floor(rnd() * a.length)]!;
const system = await startSystem();
system.configure({ ...standardConfiguration, version: 2, routes: standardConfiguration.routes.map(r => ({ ...r, timeout_ms: 1500, target_latency_ms: 800 })) });
const runs = new Map<string, number>();
const notExec = new Map<string, boolean>();
function startFuzzRunner(id: string): Promise<string> {
  return new Promise(res => {
    const server = createServer(sock => {
      sock.on("error", () => {});
      let buf = "";
      sock.on("data", async d => {
        buf += d.toString("latin1");
        for (;;) {
          const he = buf.indexOf("\r\n\r\n");
          if (he < 0) return;
          const head = buf.slice(0, he);
          const len = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
          if (buf.length < he + 4 + len) return;
          const rid = /attempt-id: (\S+)/i.exec(head)![1]!;
          const exp = /expect-instance: (\S+)/i.exec(head)?.[1];
          const lastId = Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? 0);
          const path = head.split(" ")[1]!;
          buf = buf.slice(he + 4 + len);
          await serve(sock, id, rid, path, lastId);
        }
      });
    });
    server.listen(0, "127.0.0.1", () => res(`127.0.0.1:${(server.address() as any).port}`));
  });
}
const W = (sock: Socket, b: string | Buffer) => { if (sock.writable) sock.write(b); };
async function serve(sock: Socket, id: string, rid: string, path: string, lastId: number) {
  const H = [`attempt-id: ${rid}`, "response-seal: seal-" + rid, "runner-load: 1,0,6"];
  const body = `BODY:${rid}:${"z".repeat(Math.floor(rnd() ** 4 * 40000))}:END`;
  const stream = path.startsWith("/stream/");
  const mode = pick(["ok","ok","ok","notexec","reset","half","halfreset","garbage","extra","late","1xx","utf8","dupcl","badchunk","unframed","unframedreset","slow","silent","101","hugehead","500","204","early","trailers","bothte","fin","ctl","obsfold","lf"]);
  if (mode === "notexec") { W(sock, `HTTP/1.1 503 X\r\nattempt-id: ${rid}\r\nnot-executed: 1\r\ncontent-length: 3\r\n\r\nabc`); return; }
  runs.set(rid, (runs.get(rid) ?? 0) + 1);
  if (mode === "reset") { sock.resetAndDestroy(); return; }
  if (mode === "fin") { sock.end(); return; }
  if (mode === "silent") { await sleep(2500); sock.destroy(); return; }
  if (mode === "garbage") { W(sock, Buffer.from(Array.from({ length: 200 }, () => Math.floor(rnd() * 256)))); return; }
  if (mode === "101") { W(sock, `HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n`); return; }
  if (mode === "1xx") { for (let i = 0; i < 5; i++) W(sock, `HTTP/1.1 ${pick([100, 102, 103])} Hm\r\n${pick(["", "link: x\r\n", "attempt-id: zzz\r\n"])}\r\n`); }
  if (mode === "hugehead") { W(sock, `HTTP/1.1 200 OK\r\nx: ${"y".repeat(20000)}\r\n\r\n`); return; }
  if (stream) {
    const n = 8;
    const chunked = mode !== "unframed" && mode !== "unframedreset";
    const w = (t: string) => W(sock, chunked ? `${Buffer.byteLength(t).toString(16)}\r\n${t}\r\n` : t);
    W(sock, `HTTP/1.1 200 OK\r\n${H.join("\r\n")}\r\ncontent-type: text/event-stream\r\n${chunked ? "transfer-encoding: chunked\r\n" : ""}\r\n`);
    for (let i = lastId + 1; i <= n; i++) {
      w(`id: ${i}\ndata: ${rid}-${i}\n\n`);
      if (rnd() < 0.5) await sleep(Math.floor(rnd() * 20));
      if (i === 4 && (mode === "half" || mode === "halfreset" || mode === "unframedreset")) { w(pick(["id: 5\nda", "i", "id: 5\ndata: x", ": c\n", ""])); await sleep(rnd() < 0.5 ? 0 : 5); if (mode === "half") sock.end(); else sock.resetAndDestroy(); return; }
      if (i === 5 && mode === "badchunk") { W(sock, "zz\r\n"); return; }
    }
    if (chunked) W(sock, "0\r\n\r\n"); else sock.end();
    if (mode === "extra") W(sock, `HTTP/1.1 200 OK\r\n${H.join("\r\n")}\r\ncontent-length: 2\r\n\r\nhi`);
    return;
  }
  const whole = (extra: string[] = [], status = "200 OK") => `HTTP/1.1 ${status}\r\n${[...H, ...extra].join("\r\n")}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
  switch (mode) {
    case "half": W(sock, whole().slice(0, -10)); sock.end(); return;
    case "halfreset": W(sock, whole().slice(0, -10)); sock.resetAndDestroy(); return;
    case "extra": W(sock, whole() + whole()); return;
    case "late": W(sock, whole()); setTimeout(() => W(sock, whole()), rnd() * 50); return;
    case "utf8": W(sock, whole(["x-note: \u0142\u00f3d\u017a"])); return;
    case "dupcl": W(sock, `HTTP/1.1 200 OK\r\n${H.join("\r\n")}\r\ncontent-length: 5\r\ncontent-length: 7\r\n\r\nhello`); return;
    case "badchunk": W(sock, `HTTP/1.1 200 OK\r\n${H.join("\r\n")}\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\nXX\r\n`); return;
    case "unframed": W(sock, `HTTP/1.1 200 OK\r\n${H.join("\r\n")}\r\n\r\n${body}`); sock.end(); return;
    case "unframedreset": W(sock, `HTTP/1.1 200 OK\r\n${H.join("\r\n")}\r\n\r\n${body.slice(0, -6)}`); await sleep(rnd() < 0.5 ? 0 : 3); sock.resetAndDestroy(); return;
    case "slow": { const w = whole(); for (let i = 0; i < 5; i++) { W(sock, w.slice(Math.floor(w.length * i / 5), Math.floor(w.length * (i + 1) / 5))); await sleep(100); } return; }
    case "500": W(sock, whole([], "500 Oops")); return;
    case "204": W(sock, `HTTP/1.1 204 No\r\n${H.join("\r\n")}\r\n\r\n`); return;
    case "trailers": W(sock, `HTTP/1.1 200 OK\r\n${H.join("\r\n")}\r\ntransfer-encoding: chunked\r\ntrailer: x\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\nx: y\r\n\r\n`); return;
    case "bothte": W(sock, `HTTP/1.1 200 OK\r\n${H.join("\r\n")}\r\ncontent-length: ${body.length}\r\ntransfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`); return;
    case "ctl": W(sock, whole(["x-ctl: a\u0001b"])); return;
    case "obsfold": W(sock, whole(["x-fold: a\r\n b"])); return;
    case "lf": W(sock, `HTTP/1.1 200 OK\n${H.join("\n")}\ncontent-length: ${body.length}\n\n${body}`); return;
    default: W(sock, whole()); return;
  }
}
for (let i = 0; i < 4; i++) system.listServer(`i-${i}`, { address: await startFuzzRunner(`i-${i}`) });
const gw = system.startGateway(1);
await awaitSettled([gw]);
gw.process.once("exit", (c, sig) => console.log("GATEWAY EXIT", c, sig));
let n = 0;
const counts: Record<string, number> = {};
const bump = (k: string) => { counts[k] = (counts[k] ?? 0) + 1; };
async function caller(): Promise<void> {
  while (performance.now() < endsAt) {
    const rid = `r${seed0}-${++n}`;
    const kind = pick(["safe", "unsafe", "stream"]);
    const giveUp = rnd() < 0.15;
    await new Promise<void>(done => {
      const sock = connect(gw.front.port, gw.front.host);
      let text = "";
      sock.on("error", () => {});
      sock.on("data", d => { text += d.toString("latin1"); if (/^HTTP\/1.1 \d+[\s\S]*\r\ncontent-length: (\d+)/i.test(text) || text.endsWith("0\r\n\r\n")) { const he = text.indexOf("\r\n\r\n"); const cl = /content-length: (\d+)/i.exec(text.slice(0, he))?.[1]; if (text.endsWith("0\r\n\r\n") && cl === undefined || (cl !== undefined && text.length >= he + 4 + Number(cl))) setTimeout(() => sock.destroy(), 2); } });
      sock.on("close", () => {
        const st = Number(text.slice(9, 12));
        if (giveUp) { done(); return; }
        const bodyT = text.slice(text.indexOf("\r\n\r\n") + 4);
        if (text === "") { bump(`${kind} closed without answer`); }
        else bump(`${kind} ${st}`);
        if (st === 200) {
          if (!text.includes(`seal-${rid}`)) console.log("MIXED seal", rid, text.slice(0, 300));
          if (kind !== "stream") { if (!bodyT.startsWith(`BODY:${rid}:`) || !bodyT.endsWith(":END")) { if (bodyT !== "hello") console.log("MIXED body", rid, JSON.stringify(text.slice(0, 400)), bodyT.length); } }
          else if (text.endsWith("0\r\n\r\n")) { const ids = [...bodyT.matchAll(/^id: (\d+)/gm)].map(m => m[1]).join(); if (ids !== "1,2,3,4,5,6,7,8") console.log("ORDER", rid, ids, JSON.stringify(bodyT)); }
        }
        if (kind === "unsafe" && (runs.get(rid) ?? 0) > 1) console.log("TWICE", rid);
        if (kind === "unsafe" && (st === 503 || st === 429) && (runs.get(rid) ?? 0) > 0) console.log("REFUSED", rid);
        done();
      });
      const b = kind === "unsafe" ? "x".repeat(Math.floor(rnd() * 3000)) : "";
      sock.write(`${kind === "unsafe" ? "POST" : "GET"} /${kind}/a HTTP/1.1\r\nhost: members.example\r\nattempt-id: ${rid}\r\ndeadline-ms: 1500\r\nauthorization: Token key-1\r\ncontent-length: ${b.length}\r\n\r\n${b}`);
      if (giveUp) setTimeout(() => { if (rnd() < 0.5) sock.resetAndDestroy(); else sock.destroy(); }, rnd() * 200);
      setTimeout(() => { if (!sock.destroyed) { bump(`${kind} HANG`); console.log("HANG", rid, kind, text.slice(0, 200)); sock.destroy(); } }, 5000).unref();
    });
  }
}
const endsAt = performance.now() + Number(process.env.SECS ?? 30) * 1000;
await Promise.all(Array.from({ length: 12 }, caller));
console.log(n, JSON.stringify(counts), "running", gw.isRunning());
const log = readFileSync(gw.logPath, "utf8");
console.log([...new Set(log.split("\n").filter(l => /internal|"level":"error"|"level":50|Error/.test(l)).map(l => l.slice(0, 500)))].slice(0, 5).join("\n"));
await endPrograms();
process.exit(0);
