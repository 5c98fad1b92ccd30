import { expect } from "earl";
import { describe, it } from "node:test";
import { isAddress } from "../../src/utils/index.js";

const valid = [
    "10.0.0.7:1",
    "255.255.255.255:65535",
    "runner-7:80",
    "a.b-c.example:7401",
    "localhost:08080",
    "a_b:9",
    "[::1]:80",
    "[::ffff:10.0.0.7]:80",
];

const invalid = [
    "",
    "10.0.0.7",
    "10.0.0.7:",
    "10.0.0.7:0",
    "10.0.0.7:65536",
    "10.0.0.7:99999",
    "10.0.0.7:-1",
    "10.0.0.7:1e3",
    "10.0.0.256:80",
    "10.0.7:80",
    "1.2.3.4.5:80",
    "0x7f.1:80",
    "01.2.3.4:80",
    ":80",
    "a..b:80",
    "-a:80",
    "a[b/%:80",
    "a/b:80",
    "a@b:80",
    "a?b:80",
    "xn--a:80",
    "[::1:80",
    "[1:2]:80",
    "[]:80",
    "::1:80",
    "unix:/tmp/socket",
    "a b:80",
    `${"a".repeat(64)}:80`,
    `${"a.".repeat(130)}a:80`,
];

describe("address of a peer", () => {
    it("is an IP address or a host name with a port", () => {
        expect(valid.filter(text => !isAddress(text))).toEqual([]);
    });

    it("is nothing that clients would reject when they connect", () => {
        expect(invalid.filter(text => isAddress(text))).toEqual([]);
    });
});
