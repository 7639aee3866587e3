/** What an answer of a backend server says of a rest that it wants from the gateway that it answers. */
export type AskedRest =
    | { readonly type: "none"; }
    | { readonly type: "asked"; readonly forMs: number; }
    /** Something that is no time; it says nothing. */
    | { readonly type: "malformed"; readonly text: string; };
