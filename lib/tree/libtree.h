/* Internals of the distribution tree, shared by its files only. */
#ifndef LIBTREE_H
#define LIBTREE_H

#include "jacinthdyke.h"

/* tree.c */
uint64_t _JdTree_LinkId(const JdTree *tr, const void *peer);
void _JdTree_Send(JdTree *tr, void *peer, Jd__Frame *frame);
void _JdTree_CheckReady(JdTree *tr);
void _JdTree_UpdateLogReading(JdTree *tr);
void _JdTree_PushDelta(JdTree *tr, JdChild *ch);

/* child.c */
JdChild *_JdTree_FindChild(const JdTree *tr, const void *peer);
void _JdTree_RemoveChild(JdTree *tr, JdChild *ch);
void _JdTree_LoseChild(JdTree *tr, JdChild *ch);
void _JdTree_OnJoin(JdTree *tr, void *peer, const Jd__Join *msg);
void _JdTree_CheckChildren(JdTree *tr);

/* heartbeat.c */
size_t _JdTree_GetPath(JdTree *tr, char **out);
const char *_JdTree_RootAdmin(const JdTree *tr);
void _JdTree_SendParentHeartbeat(JdTree *tr);
void _JdTree_SendMoving(JdTree *tr, void *peer);
void _JdTree_SendChildHeartbeat(JdTree *tr, JdChild *ch, bool with_path);
void _JdTree_SendPathToChildren(JdTree *tr);
void _JdTree_OnChildHeartbeat(JdChild *ch, const Jd__Beat *msg);

/* uplink.c */
void _JdTree_InitUplinks(JdTree *tr);
void _JdTree_OnAccept(JdTree *tr, void *peer, const Jd__Accept *msg);
void _JdTree_OnRedirect(JdTree *tr, void *peer, const Jd__Redirect *msg);
void _JdTree_OnInvite(JdTree *tr, const Jd__Invite *msg);
void _JdTree_OnParentHeartbeat(JdTree *tr, void *peer, const Jd__Beat *msg);
void _JdTree_UplinkClosed(JdTree *tr, void *peer);
void _JdTree_CheckUplink(JdTree *tr);
void _JdTree_SearchParent(JdTree *tr);
void _JdTree_AbortJoin(JdTree *tr);
void _JdTree_BecomeRoot(JdTree *tr);

/* candidate.c */
void _JdTree_BuildCandidates(JdTree *tr);
void _JdTree_InsertCandidates(JdTree *tr, const Jd__Redirect *msg);
uint64_t _JdTree_NewestDomainRank(const JdTree *tr);

/* head.c */
void _JdTree_InitHeads(JdTree *tr);
void _JdTree_SchedulePromotion(JdTree *tr);
void _JdTree_CheckHeads(JdTree *tr);
void _JdTree_OnPromote(JdTree *tr);
bool _JdTree_IsLowestDomainHead(const JdTree *tr);
void _JdTree_RenewRegistration(JdTree *tr);

/* crashes.c */
void _JdTree_InitCrashes(JdTree *tr);
void _JdTree_SendCrashes(JdTree *tr, void *peer);
void _JdTree_OnCrashes(JdTree *tr, void *peer, const Jd__Crashes *msg);

/* rollouts.c */
void _JdTree_InitRollouts(JdTree *tr);
void _JdTree_FinishRollouts(JdTree *tr);
void _JdTree_SendRollouts(JdTree *tr, void *peer);
void _JdTree_OnRollouts(JdTree *tr, void *peer, const Jd__Rollouts *msg);

/* rollout_reports.c */
void _JdTree_InitReports(JdTree *tr);
void _JdTree_FinishReports(JdTree *tr);
void _JdTree_ScheduleReport(JdTree *tr, uint64_t delay);
void _JdTree_ResendReports(JdTree *tr);
void _JdTree_OnRolloutCounts(JdTree *tr, const Jd__RolloutCounts *msg);

/* invite.c */
void _JdTree_SendInvites(JdTree *tr);
bool _JdTree_InviteConnected(JdTree *tr, void *peer);
void _JdTree_InviteClosed(JdTree *tr, void *peer);

/* update.c */
void _JdTree_InitUpdates(JdTree *tr);
void _JdTree_AnnounceSelf(JdTree *tr);
void _JdTree_OnMembers(JdTree *tr, void *peer, const Jd__Members *msg);
void _JdTree_SendMembers(JdTree *tr, void *peer, const uint64_t *bucket,
                         size_t n_bucket);
void _JdTree_FlushUpdates(JdTree *tr);

#endif
