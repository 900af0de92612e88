/**
 * Chooses to whom a member sends a broadcast: to all of its own zone, and to one relay of each other zone, which sends it
 * on to its zone. Each zone is thus reached by one message from outside, within two steps.
 */
import type { ZoneId } from '../../types.ts'
import type { MemberRecord } from './member-record.ts'
import { shuffle } from './probe-order.ts'

/** A recipient; a relay sends the broadcast on to the other members of its zone. */
export interface BroadcastRecipient { member: MemberRecord, isRelay: boolean }

/** Lists the recipients of a broadcast that starts here. `members` are the others, without those that are dead. */
export function listBroadcastRecipients (zone: ZoneId, members: readonly MemberRecord[], random: () => number): BroadcastRecipient[] {
  const recipients: BroadcastRecipient[] = []
  const reachedZones = new Set<ZoneId>()
  for (const member of shuffle(members, random)) {
    if (member.zone === zone) {
      recipients.push({ member, isRelay: false })
      continue
    }
    if (reachedZones.has(member.zone)) continue
    reachedZones.add(member.zone)
    recipients.push({ member, isRelay: true })
  }
  return recipients
}

/** Lists the members to which a relay sends a broadcast on. */
export function listRelayRecipients (zone: ZoneId, members: readonly MemberRecord[]): MemberRecord[] {
  return members.filter((member) => member.zone === zone)
}
